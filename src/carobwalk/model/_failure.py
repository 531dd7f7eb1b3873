"""Reasons why a request ended without a complete response."""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.model._outcome import Outcome


@unique
class FailureKind(StrEnum):
    """Kinds of failure, as written in the bodies of error responses."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    MISSING_KEY = 'missing-key'
    NO_OWNER = 'no-owner'
    NOT_DISPATCHER = 'not-dispatcher'
    PEER_LOST = 'peer-lost'
    DEADLINE = 'deadline-exceeded'
    QUEUE_FULL = 'queue-full'
    SHED = 'shed'
    SERVER_LOST = 'server-lost'
    SERVER_UNREACHABLE = 'server-unreachable'
    FENCED = 'fenced'
    QUARANTINED = 'quarantined'
    REPEAT_UNSETTLED = 'repeat-unsettled'
    TOO_LARGE = 'too-large'
    STOPPING = 'stopping'
    CALLER_GONE = 'caller-gone'
    INTERNAL = 'internal-error'


@dataclass(frozen=True, slots=True)
class Failure:
    """A request that ended without a complete response.

    Args:
        kind: Kind of the failure.
        outcome: Whether the request may have run on a backend server.
        detail: Cause in plain English, with figures.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    kind: FailureKind
    outcome: Outcome
    detail: str
    retry_after: float | None = None
