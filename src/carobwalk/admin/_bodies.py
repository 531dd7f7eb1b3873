"""Request bodies."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, TypeAlias

import msgspec

from carobwalk.profiles import Role

_MAX_REASON_LENGTH = 500
Reason: TypeAlias = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=_MAX_REASON_LENGTH),
]


@dataclass(frozen=True, slots=True)
class NewProfile:
    """A profile to be created.

    Args:
        name: Its name.
        fields: Fields that it sets, and its parent.
        reason: Why, for the history.
        reverting: Others' revisions that are knowingly taken back.
    """

    name: str
    fields: Mapping[str, Any]
    reason: Reason
    reverting: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ProfileFields:
    """All fields that a profile is to set itself, and its parent."""

    fields: Mapping[str, Any]
    reason: Reason
    reverting: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Deletion:
    """Why a profile goes."""

    reason: Reason
    reverting: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Reversal:
    """A change that is to be taken back, by its revision."""

    revision: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class Assignment:
    """The profile that a service is to run under."""

    profile: str
    reason: Reason
    reverting: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class NewToken:
    """Roles of a token for an operator."""

    operator: str
    roles: tuple[Role, ...]
    reason: Reason
    reverting: tuple[int, ...] = ()
