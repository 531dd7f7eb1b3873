"""How far an exchange with a backend server got before it failed."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Why a backend server says that it did not run a request."""

    FENCED = 'fenced'
    SHED = 'shed'
    OTHER = 'other'


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be had; no byte was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotAuthorised:
    """No lease allowed the request at the moment of sending."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The connection failed before the first byte of the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The connection was lost after a byte was sent, before an answer."""

    detail: str


@dataclass(frozen=True, slots=True)
class Truncated:
    """The answer broke off, or its end can't be told."""

    detail: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The backend server itself says that the request did not run.

    Args:
        reason: Cause that the server names.
        retry_after: Seconds after which it expects to take the request.
    """

    reason: RefusalReason
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class CallerLost:
    """The caller went away while its request or answer was passed on."""

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
