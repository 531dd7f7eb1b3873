"""Events of requests."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class AttemptFailed(Event):
    """A request was sent to a backend server, or should have been, in vain.

    Args:
        request: Id of the caller's attempt.
        server: Backend server.
        service: Its service.
        outcome: Kind of the failure.
        detail: What went wrong.
        sends: How often the request has been sent until now.
    """

    level: ClassVar[str] = 'warning'

    request: str
    server: str
    service: str
    outcome: str
    detail: str
    sends: int


@dataclass(frozen=True, slots=True)
class RequestAnswered(Event):
    """A request got its final answer.

    Args:
        request: Id of the caller's attempt.
        route: Name of its route, empty if it has none.
        version: Version of the configuration that decided.
        service: Service that ran it or should have.
        server: Backend server it was last sent to, empty if it was not sent.
        key: Number of its key.
        status: HTTP status of the answer.
        sends: How often it was sent.
        seconds: Time from its head to its answer.
        time_left: Time in seconds that the caller would still have waited.
        cause: Why the gateway answered itself, ``None`` for an answer of a
            backend server.
    """

    request: str
    route: str
    version: int
    service: str
    server: str
    key: int | None
    status: int
    sends: int
    seconds: float
    time_left: float
    cause: str | None


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """A caller left before its answer.

    Args:
        request: Id of the caller's attempt.
        server: Backend server it was last sent to, empty if it was not sent.
        sends: How often it was sent.
        seconds: Time from its head.
    """

    request: str
    server: str
    sends: int
    seconds: float


@dataclass(frozen=True, slots=True)
class ConnectionCrashed(Event):
    """A fault of the program ended a caller's connection.

    Args:
        kind: Type of the exception.
        detail: Its text.
    """

    level: ClassVar[str] = 'error'

    kind: str
    detail: str
