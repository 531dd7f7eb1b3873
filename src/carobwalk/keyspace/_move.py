"""Reassignment of keys to another owner."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Final

from carobwalk.directory import ServerIncarnation


@unique
class MoveCause(StrEnum):
    """Reason why keys are assigned to another owner."""

    FIRST = 'first-assignment'
    OWNER_GONE = 'owner-gone'
    OWNER_LEAVING = 'owner-leaving'
    EVACUATION = 'evacuation'
    OTHER_REGION = 'other-region'
    NEW_SERVER = 'new-server'
    LOAD = 'load'


BALANCING: Final = frozenset((MoveCause.NEW_SERVER, MoveCause.LOAD))


@dataclass(frozen=True, slots=True)
class Move:
    """A range of keys and its new owner.

    Args:
        first: First key.
        last: Last key, inclusive.
        owner: New owner.
        cause: Reason for the move.
    """

    first: int
    last: int
    owner: ServerIncarnation
    cause: MoveCause
