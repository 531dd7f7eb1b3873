"""Failures that the entry reports itself."""

from carobwalk.model import Failure, FailureKind, Outcome, ServiceName


def bad_request(detail: str) -> Failure:
    """Return the failure of a malformed request."""
    return Failure(FailureKind.BAD_REQUEST, Outcome.NOT_RUN, detail)


def unknown_service(service: ServiceName) -> Failure:
    """Return the failure of a request to a service without a profile."""
    return Failure(
        FailureKind.UNKNOWN_SERVICE,
        Outcome.NOT_RUN,
        f'no service {service!r}',
    )


def missing_key(index: int) -> Failure:
    """Return the failure of a request whose path has no key."""
    return Failure(
        FailureKind.MISSING_KEY,
        Outcome.NOT_RUN,
        f'the path segment {index} after the service must hold the key',
    )


def stopping() -> Failure:
    """Return the failure of a request to a process that is stopping."""
    return Failure(
        FailureKind.STOPPING,
        Outcome.NOT_RUN,
        'this process is stopping',
        retry_after=0,
    )


def deadline_exceeded(outcome: Outcome) -> Failure:
    """Return the failure of a request that exceeded its deadline."""
    return Failure(
        FailureKind.DEADLINE,
        outcome,
        'no complete answer within the time limit',
    )


def caller_gone() -> Failure:
    """Return the failure of a request whose caller disconnected."""
    return Failure(
        FailureKind.CALLER_GONE,
        Outcome.UNKNOWN,
        'the caller closed its connection',
    )
