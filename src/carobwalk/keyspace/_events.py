"""Log events of key ownership."""

from dataclasses import dataclass
from typing import ClassVar, Self

from carobwalk.events import Event
from carobwalk.keyspace._move import Move


@dataclass(frozen=True, slots=True)
class KeyMapChanged(Event):
    """A newer key map of a service was received.

    Args:
        service: Name of the service.
        revision: Revision of the map's record in the store.
        number: Number of the update since that revision.
        ranges: Number of ranges in the map.
        ungranted: Number of ranges whose owner is not known to have accepted
            its grant.
    """

    service: str
    revision: int
    number: int
    ranges: int
    ungranted: int


@dataclass(frozen=True, slots=True)
class KeyRecordDamaged(Event):
    """A record could not be decoded; the last valid content stays in force.

    Args:
        name: Name of the record.
        detail: Description of the decoding error.
    """

    level: ClassVar[str] = 'warning'

    name: str
    detail: str


@dataclass(frozen=True, slots=True)
class KeyRecordOutdated(Event):
    """A key map record is a copy from before the store was restored.

    Args:
        name: Name of the record.
        revision: Revision of the record.
    """

    level: ClassVar[str] = 'warning'

    name: str
    revision: int


@dataclass(frozen=True, slots=True)
class PeerAnswerDropped(Event):
    """An answer of another process could not be decoded; it is ignored.

    Args:
        process: Name of the process that answered.
        topic: Topic of the message.
        detail: Description of the decoding error.
    """

    level: ClassVar[str] = 'warning'

    process: str
    topic: str
    detail: str


@dataclass(frozen=True, slots=True)
class CoordinatorChanged(Event):
    """The coordinator changed, or the role became vacant.

    Args:
        process: Identity of the new coordinator, empty if there is none.
        revision: Revision of the coordinator record.
    """

    process: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeysAssigned(Event):
    """A range of keys was assigned to another owner.

    Args:
        service: Name of the service.
        first: First key.
        last: Last key, inclusive.
        server: New owner.
        fence: Fencing token of the assignment.
        cause: Reason for the move.
    """

    service: str
    first: int
    last: int
    server: str
    fence: int
    cause: str

    @classmethod
    def of(cls, service: str, move: Move, fence: int) -> Self:
        """Return the event for a move."""
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
    """The new owner of a range of keys accepted its grant.

    Args:
        service: Name of the service.
        first: First key.
        last: Last key, inclusive.
        server: New owner.
        fence: Fencing token of the grant.
        with_handover: Whether state of a previous owner was passed on.
        seconds: Time since the transfer of the range started.
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
        server: Backend server that the order was for.
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the order.
        cause: Class name of the failure.
        detail: Description of the failure.
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
    """A backend server was declared lost and is given no keys.

    Args:
        server: Backend server.
        born: Start of the incarnation, in milliseconds since 1970.
        cause: ``ended`` if another server listens at its address, ``silent``
            if it does not answer or refuses connections.
        holds_until: Seconds until its last grant has expired.
    """

    level: ClassVar[str] = 'warning'

    server: str
    born: int
    cause: str
    holds_until: float


@dataclass(frozen=True, slots=True)
class MapNotWritten(Event):
    """A key map could not be written to the store.

    Args:
        service: Name of the service.
        cause: Class name of the failure.
        detail: Description of the failure, empty if there is none.
    """

    level: ClassVar[str] = 'warning'

    service: str
    cause: str
    detail: str
