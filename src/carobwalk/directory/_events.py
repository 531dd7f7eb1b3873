"""Log events of the directory of backend servers."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ServerChanged(Event):
    """A backend server was registered or changed its entry.

    Args:
        server: Id of the server.
        service: Service that the server runs.
        born: Start of this incarnation, in milliseconds since 1970.
        revision: Store revision of the entry.
        is_leaving: Whether the server is shutting down and accepts no new
            work.
    """

    server: str
    service: str
    born: int
    revision: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class ServerCold(Event):
    """A backend server said in its entry that it is slow for a time.

    Args:
        server: Id of the server.
        service: Service that the server runs.
        born: Start of this incarnation, in milliseconds since 1970.
        seconds: How long it is slow.
    """

    server: str
    service: str
    born: int
    seconds: float


@dataclass(frozen=True, slots=True)
class ServerWarm(Event):
    """A backend server that was slow for a time has its usual speed again.

    Args:
        server: Id of the server.
        service: Service that the server runs.
        born: Start of this incarnation, in milliseconds since 1970.
    """

    server: str
    service: str
    born: int


@dataclass(frozen=True, slots=True)
class LeavingAnnounced(Event):
    """A backend server said in an answer that it is shutting down.

    Args:
        server: Id of the server.
    """

    server: str


@dataclass(frozen=True, slots=True)
class ServerForgotten(Event):
    """A backend server's entry was removed.

    Args:
        server: Id of the server.
        cause: Why the server is considered removed.
    """

    server: str
    cause: str


@dataclass(frozen=True, slots=True)
class ServerEntryDropped(Event):
    """An invalid entry was ignored.

    Args:
        name: Store key of the entry.
        detail: What is wrong with the entry.
    """

    level: ClassVar[str] = 'warning'

    name: str
    detail: str


@dataclass(frozen=True, slots=True)
class EvacuationBegun(Event):
    """A data centre is evacuated: its servers get no more work.

    Args:
        data_centre: Name of the data centre.
        keyed_seconds: Seconds for which owners of keys there are still sent
            requests for them.
    """

    level: ClassVar[str] = 'warning'

    data_centre: str
    keyed_seconds: float


@dataclass(frozen=True, slots=True)
class EvacuationEnded(Event):
    """The servers of a data centre that was evacuated get work again.

    Args:
        data_centre: Name of the data centre.
        seconds: Seconds since this process learned of the evacuation.
    """

    data_centre: str
    seconds: float
