"""Errors of a settings file."""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class SettingsErrorKind(StrEnum):
    """Kinds of error in a settings file."""

    UNREADABLE = 'unreadable'
    SYNTAX = 'syntax'
    UNKNOWN_NAME = 'unknown-name'
    MISSING = 'missing'
    INVALID = 'invalid'
    CONTRADICTION = 'contradiction'


@dataclass(frozen=True, slots=True)
class SettingsError:
    """One error of a settings file.

    Args:
        file: Name of the file as given by the caller.
        path: Field, for instance ``limits.header_bytes``; empty if the error
            concerns the whole file.
        kind: Kind of the error.
        found: Abbreviated value found in the file, or the cause of the error.
        allowed: Description of the allowed values.
    """

    file: str
    path: str
    kind: SettingsErrorKind
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the error on one line."""
        place = f'{self.file}: {self.path}' if self.path else self.file
        return f'{place}: {self.kind}: {self.found}; allowed: {self.allowed}'


@dataclass(frozen=True, slots=True)
class SettingsErrors:
    """All errors of a settings file, in the order of its fields.

    Args:
        errors: The errors; never empty.
    """

    errors: tuple[SettingsError, ...]

    def __str__(self) -> str:
        """Return one line for each error."""
        return '\n'.join(str(error) for error in self.errors)
