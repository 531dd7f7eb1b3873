"""Translation of upstream failures into failures for callers."""

from collections.abc import Mapping
from types import MappingProxyType

from carobwalk.dispatch._errors import FalseNotRunError
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    NotAuthorised,
    NotConnected,
    NotSent,
    RefusalReason,
    Refused,
    Truncated,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import Failure, FailureKind, Outcome

_KINDS_BY_TYPE: Mapping[type, FailureKind] = MappingProxyType(
    {
        NotConnected: FailureKind.SERVER_UNREACHABLE,
        NotAuthorised: FailureKind.NOT_DISPATCHER,
        NotSent: FailureKind.SERVER_UNREACHABLE,
        Unanswered: FailureKind.SERVER_LOST,
        Truncated: FailureKind.SERVER_LOST,
        CallerLost: FailureKind.CALLER_GONE,
    }
)


def failure_of(failure: UpstreamFailure, gate: SendGate) -> Failure:
    """Return the failure to report to the caller for a failed send.

    Args:
        failure: How far the send got.
        gate: The request's gate, which tracks whether it may have run.

    Raises:
        FalseNotRunError: If a lost request would be reported as not run.
    """
    if isinstance(failure, Refused):
        return _refusal_failure(failure, gate)
    is_not_run = gate.outcome is Outcome.NOT_RUN
    if is_not_run and isinstance(failure, Unanswered | Truncated):
        raise FalseNotRunError(failure.detail)
    return Failure(
        kind=_KINDS_BY_TYPE[type(failure)],
        outcome=gate.outcome,
        detail=failure.detail,
    )


def _refusal_failure(refused: Refused, gate: SendGate) -> Failure:
    is_fenced = refused.reason is RefusalReason.FENCED
    return Failure(
        kind=FailureKind.FENCED if is_fenced else FailureKind.SHED,
        outcome=gate.outcome,
        detail=f'the server refused: {refused.reason.value}',
        retry_after=refused.retry_after,
    )
