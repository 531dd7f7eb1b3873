"""What a change of configuration is about."""

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
        """Return ``kind/name``, the form used as a key in records."""
        return f'{self.kind.value}/{self.name}'
