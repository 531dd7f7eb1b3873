"""A range of keys and its owner."""

from dataclasses import dataclass

from carobwalk.model import ServerId

MOST_KEY = 65_535

# First and last key of a range.
KeyBounds = tuple[int, int]


@dataclass(frozen=True, slots=True, order=True)
class ServerLife:
    """A life of a backend server.

    Args:
        server: Identity of the server.
        born: Start of this life, in milliseconds since 1970.
    """

    server: ServerId
    born: int


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """A range of keys and its owner.

    Args:
        first: First key.
        last: Last key, included.
        owner: Life of the backend server that owns the keys.
        fence: Fencing token of the grant; 0 stands for the revision of the
            record that the range was first written in.
        is_granted: Whether the owner is known to have taken the grant.
        previous: Lives that may still hold some of the keys while the owner
            is not known to have taken the grant.
    """

    first: int
    last: int
    owner: ServerLife
    fence: int = 0
    is_granted: bool = False
    previous: tuple[ServerLife, ...] = ()

    @property
    def bounds(self) -> KeyBounds:
        """First and last key."""
        return self.first, self.last

    def __len__(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
