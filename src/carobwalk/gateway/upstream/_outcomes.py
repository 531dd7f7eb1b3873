"""Outcomes of an attempt to run a request on a backend server."""

from dataclasses import dataclass
from http import HTTPStatus

from carobwalk.gateway._reply import Reply
from carobwalk.gateway._server_notice import ServerNotice


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server sent a complete answer.

    Args:
        reply: The answer.
        notice: What the server says of itself.
    """

    reply: Reply
    notice: ServerNotice


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the backend server.

    Args:
        detail: Cause, for the answer to the caller and the log.
        is_refused: Whether the server refused the connection, so that
            nothing listens at its address.
        is_withheld: Whether this process decided not to send the request, so
            that the outcome tells nothing about the server.
    """

    detail: str
    is_refused: bool = False
    is_withheld: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server reported that it did not run the request.

    Args:
        status: HTTP status of the report.
        notice: What the server says of itself.
    """

    status: int
    notice: ServerNotice

    @property
    def detail(self) -> str:
        """Cause, for the answer to the caller and the log."""
        return f'not run, status {self.status}'

    @property
    def is_misdirected(self) -> bool:
        """Whether the server does not hold the key, or is not the named one."""
        return self.status == HTTPStatus.MISDIRECTED_REQUEST


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but no usable answer was received.

    Args:
        detail: Cause, for the answer to the caller and the log.
    """

    detail: str


AttemptOutcome = Answered | NotSent | NotRun | Lost
