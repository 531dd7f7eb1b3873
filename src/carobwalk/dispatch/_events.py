"""Events of dispatch."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A request finished at its dispatcher.

    The entry writes its own event for a request that did not complete.

    Args:
        request: Identity of the request.
        service: Service called.
        server: Backend server.
        rank: Rank of the request.
        outcome: Outcome reported to the caller.
        kind: Kind of failure; empty for a complete request.
        sends: How often the request was sent.
        seconds: Time since its arrival at the dispatcher.
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
    """A backend server stopped responding to requests.

    Args:
        server: Backend server.
        failures: Consecutive failed sends.
    """

    server: str
    failures: int


@dataclass(frozen=True, slots=True)
class ServerRecovered(Event):
    """A suspected backend server responded to a request."""

    server: str


@dataclass(frozen=True, slots=True)
class RequestSuspected(Event):
    """A backend server was lost while a request ran.

    Args:
        request: Identity of the request.
        service: Service called.
        server: Backend server that was lost.
        losses: Lost servers that are attributed to the request.
        convicted: Whether the request is quarantined from now on.
    """

    request: str
    service: str
    server: str
    losses: int
    convicted: bool
