"""Failures of an exchange with a backend server, by progress."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason that a backend server states for refusing a request."""

    FENCED = 'fenced'
    SHED = 'shed'
    OTHER = 'other'


@dataclass(frozen=True, slots=True)
class NotConnected:
    """The connection could not be established; no byte was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotAuthorised:
    """No lease authorised the request at the moment of sending."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The connection failed before the first byte of the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The connection was lost after the first byte, before a response."""

    detail: str


@dataclass(frozen=True, slots=True)
class Truncated:
    """The response was incomplete, or its length is undefined."""

    detail: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The backend server states that it did not run the request.

    Args:
        reason: Reason that the server states.
        retry_after: Seconds after which it suggests a retry.
    """

    reason: RefusalReason
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class CallerLost:
    """The caller disconnected during its request or the response."""

    detail: str


UpstreamFailure = (
    NotConnected
    | NotAuthorised
    | NotSent
    | Unanswered
    | Truncated
    | Refused
    | CallerLost
)
