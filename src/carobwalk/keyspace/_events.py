"""Events of the ownership of numbered keys."""

from dataclasses import dataclass
from typing import ClassVar, Self

from carobwalk.events import Event
from carobwalk.keyspace._move import Move


@dataclass(frozen=True, slots=True)
class KeyMapChanged(Event):
    """A newer map of a service's keys was read.

    Args:
        service: The service.
        revision: Revision of its record.
        number: Number of the update since that revision.
        ranges: Number of ranges.
        ungranted: Ranges whose owner is not known to hold its grant.
    """

    service: str
    revision: int
    number: int
    ranges: int
    ungranted: int


@dataclass(frozen=True, slots=True)
class KeyRecordDamaged(Event):
    """A record can't be read; what was known before stays.

    Args:
        name: Name of the record.
        detail: What is wrong with it.
    """

    level: ClassVar[str] = 'warning'

    name: str
    detail: str


@dataclass(frozen=True, slots=True)
class CoordinatorChanged(Event):
    """Another process coordinates, or none.

    Args:
        process: Its id, empty for none.
        revision: Revision of the record.
    """

    process: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeysAssigned(Event):
    """A range of keys gets another owner.

    Args:
        service: The service.
        first: First key.
        last: Last key.
        server: The new owner.
        fence: Fencing token.
        cause: Why it moves.
    """

    service: str
    first: int
    last: int
    server: str
    fence: int
    cause: str

    @classmethod
    def of(cls, service: str, move: Move, fence: int) -> Self:
        """Return the event of a move."""
        return cls(
            service,
            move.first,
            move.last,
            move.owner.server,
            fence,
            move.cause,
        )


@dataclass(frozen=True, slots=True)
class KeysGranted(Event):
    """The new owner of a range of keys took its grant.

    Args:
        service: The service.
        first: First key.
        last: Last key.
        server: The new owner.
        fence: Fencing token.
        with_handover: Whether the state of the last owner was handed over.
        seconds: Time since the range was assigned.
    """

    service: str
    first: int
    last: int
    server: str
    fence: int
    with_handover: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class OrderFailed(Event):
    """A grant or release was not answered, or was refused.

    Args:
        order: ``grant`` or ``release``.
        server: Backend server.
        first: First key.
        last: Last key.
        fence: Fencing token.
        cause: Kind of the failure.
        detail: What went wrong.
    """

    level: ClassVar[str] = 'warning'

    order: str
    server: str
    first: int
    last: int
    fence: int
    cause: str
    detail: str


@dataclass(frozen=True, slots=True)
class OwnerLost(Event):
    """A backend server that owns keys counts as lost.

    Args:
        server: Backend server.
        born: Start of its life, in milliseconds since 1970.
        cause: Why.
        holds_until: Seconds until its last grant is over.
    """

    level: ClassVar[str] = 'warning'

    server: str
    born: int
    cause: str
    holds_until: float


@dataclass(frozen=True, slots=True)
class MapNotWritten(Event):
    """A map could not be written.

    Args:
        service: The service.
        cause: Kind of the failure.
        detail: What went wrong.
    """

    level: ClassVar[str] = 'warning'

    service: str
    cause: str
    detail: str
