"""Ranges of keys and the server incarnations that own them."""

from dataclasses import dataclass

from carobwalk.directory import ServerIncarnation

MAX_KEY = 65_535

# First and last key of a range, both inclusive.
KeyBounds = tuple[int, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """A range of keys and its owner.

    Args:
        first: First key.
        last: Last key, inclusive.
        owner: Incarnation of the backend server that owns the keys.
        fence: Fencing token of the grant; 0 stands for the revision of the
            record that the range was first written in.
        is_granted: Whether the owner is known to have accepted the grant.
        previous: Incarnations that may still hold some of the keys, until the
            owner is known to have accepted the grant.
    """

    first: int
    last: int
    owner: ServerIncarnation
    fence: int = 0
    is_granted: bool = False
    previous: tuple[ServerIncarnation, ...] = ()

    @property
    def bounds(self) -> KeyBounds:
        """First and last key."""
        return self.first, self.last

    def __len__(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
