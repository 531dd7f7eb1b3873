"""Failures of sends as callers see them."""

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


def failure_of(lost: UpstreamFailure, gate: SendGate) -> Failure:
    """Return what the caller is told of a failed send.

    Args:
        lost: How far the send got.
        gate: The request's gate, which knows whether it may have run.

    Raises:
        FalseNotRunError: If a lost request would be called not run.
    """
    if isinstance(lost, Refused):
        return _refusal(lost, gate)
    is_not_run = gate.outcome is Outcome.NOT_RUN
    if is_not_run and isinstance(lost, Unanswered | Truncated):
        raise FalseNotRunError(lost.detail)
    return Failure(
        kind=_KINDS_BY_TYPE[type(lost)],
        outcome=gate.outcome,
        detail=lost.detail,
    )


def _refusal(refused: Refused, gate: SendGate) -> Failure:
    is_fenced = refused.reason is RefusalReason.FENCED
    return Failure(
        kind=FailureKind.FENCED if is_fenced else FailureKind.SHED,
        outcome=gate.outcome,
        detail=f'the server refused: {refused.reason.value}',
        retry_after=refused.retry_after,
    )
