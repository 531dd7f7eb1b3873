"""Events of dispatch."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A request left its dispatcher.

    The entry writes its own event of a request that is not complete.

    Args:
        request: Identity of the request.
        service: Service called.
        server: Backend server.
        rank: Urgency class.
        outcome: Outcome told to the caller.
        kind: Kind of failure; empty for a complete request.
        sends: Sends of the request.
        seconds: Time from arrival at the dispatcher.
    """

    level: ClassVar[str] = 'debug'

    request: str
    service: str
    server: str
    rank: str
    outcome: str
    kind: str
    sends: int
    seconds: float


@dataclass(frozen=True, slots=True)
class ServerSuspected(Event):
    """A backend server stopped answering requests.

    Args:
        server: Backend server.
        failures: Failed sends in a row.
    """

    server: str
    failures: int


@dataclass(frozen=True, slots=True)
class ServerRecovered(Event):
    """A suspected backend server answered a request."""

    server: str


@dataclass(frozen=True, slots=True)
class RequestSuspected(Event):
    """A backend server was lost while a request ran.

    Args:
        request: Identity of the request.
        service: Service called.
        server: Backend server that was lost.
        losses: Losses that count against the request.
        convicted: Whether it is in quarantine from now on.
    """

    request: str
    service: str
    server: str
    losses: int
    convicted: bool
