"""Log events of requests and connections of callers."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class AttemptFailed(Event):
    """An attempt to run a request on a backend server failed.

    Args:
        request: Id of the caller's attempt.
        server: Id of the backend server.
        service: Service that the server runs.
        outcome: Kind of the failure, the class name of the outcome.
        detail: Cause of the failure.
        sends: Number of times the request has been sent so far.
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
    """The final answer to a request was determined.

    Args:
        request: Id of the caller's attempt.
        route: Name of the matched route, empty if it has none.
        version: Version of the routing configuration that was applied.
        service: Service that the request was routed to.
        server: Id of the last backend server that was tried, empty if none
            was.
        key: Number of the key, ``None`` if the request has none.
        status: HTTP status of the answer.
        sends: Number of times the request was sent.
        seconds: Time from the reading of the head to the answer.
        time_left: Time in seconds left until the deadline.
        cause: Why the gateway itself answered, ``None`` for an answer of a
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
    """A caller disconnected before its request was answered.

    Args:
        request: Id of the caller's attempt.
        server: Id of the last backend server that was tried, empty if none
            was.
        sends: Number of times the request was sent.
        seconds: Time from the reading of the head to the disconnect.
    """

    request: str
    server: str
    sends: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RequestDropped(Event):
    """A pipelined request was read and will never be sent.

    It waited for responses to earlier requests of its connection when the
    connection ended.

    Args:
        request: Id of the caller's attempt.
        route: Name of the matched route.
        cause: Why the connection ended.
        seconds: Time from the arrival of the head to the end.
    """

    request: str
    route: str
    cause: str
    seconds: float


@dataclass(frozen=True, slots=True)
class ConnectionCrashed(Event):
    """An unexpected exception ended a caller's connection.

    Args:
        kind: Class name of the exception.
        detail: Message of the exception.
    """

    level: ClassVar[str] = 'error'

    kind: str
    detail: str
