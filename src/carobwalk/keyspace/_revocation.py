"""Why a previous owner of keys is known to hold them no longer."""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.events import Event


@unique
class RevocationCause(StrEnum):
    """Evidence that an incarnation of a server holds none of some keys."""

    RELEASED = 'released'
    EXPIRED = 'expired'
    PROCESS_ENDED = 'process-ended'


@dataclass(frozen=True, slots=True)
class KeysRevoked(Event):
    """A previous owner of a range of keys is known to hold none of them.

    Args:
        server: Previous owner.
        born: Start of its incarnation, in milliseconds since 1970.
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the assignment to the new owner.
        cause: Evidence that it holds none of the keys.
        expires_in: Seconds until all its grants of these keys that are known
            have expired; negative afterwards, minus infinity without any.
    """

    server: str
    born: int
    first: int
    last: int
    fence: int
    cause: RevocationCause
    expires_in: float
