"""Subjects of configuration changes."""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class SubjectKind(StrEnum):
    """Kinds of things that operators configure."""

    PROFILE = 'profile'
    SERVICE = 'service'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True, order=True)
class Subject:
    """A named thing in the configuration."""

    kind: SubjectKind
    name: str

    def __str__(self) -> str:
        """Return ``kind/name``, the key of the subject in stored records."""
        return f'{self.kind.value}/{self.name}'
