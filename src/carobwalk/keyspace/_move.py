"""A change of the owner of keys."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Final

from carobwalk.keyspace._key_range import ServerLife


@unique
class MoveCause(StrEnum):
    """Why keys get another owner."""

    FIRST = 'first-assignment'
    OWNER_GONE = 'owner-gone'
    OWNER_LEAVING = 'owner-leaving'
    NEW_SERVER = 'new-server'
    LOAD = 'load'


BALANCING: Final = frozenset((MoveCause.NEW_SERVER, MoveCause.LOAD))


@dataclass(frozen=True, slots=True)
class Move:
    """A range of keys and its new owner.

    Args:
        first: First key.
        last: Last key.
        owner: The new owner.
        cause: Why it moves.
    """

    first: int
    last: int
    owner: ServerLife
    cause: MoveCause
