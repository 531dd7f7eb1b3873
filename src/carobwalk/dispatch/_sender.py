"""Sending of requests to a backend server, with a retry budget."""

from dataclasses import dataclass, replace

import trio
from result import Err, Ok, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatch_request import DispatchRequest
from carobwalk.dispatch._failures import failure_of
from carobwalk.dispatch._limit_policy import SendEnd
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._suspect import Suspect
from carobwalk.dispatch._suspect_tracker import SuspectTracker
from carobwalk.dispatch._ticket import Ticket
from carobwalk.dispatch._token_bucket_retry_budget import TokenBucketRetryBudget
from carobwalk.dispatch._upstream import Upstream
from carobwalk.dispatch._upstream_failures import (
    NotConnected,
    NotSent,
    RefusalReason,
    Refused,
    Truncated,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import Completion, Failure, FailureKind

_RETRY_DELAY_SECONDS = 0.02

_SendResult = Result[Completion, UpstreamFailure]
_CallResult = Result[Completion, Failure]


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of one send, and whether a retry may succeed."""

    result: _CallResult
    is_transient: bool


class Sender:
    """Sends requests to one backend server as slots become available.

    Args:
        slots: Slots of the server.
        upstream: Connections to the server.
        suspect_tracker: Access to the quarantine.
        context: Shared dependencies.
    """

    def __init__(
        self,
        slots: Slots,
        upstream: Upstream,
        suspect_tracker: SuspectTracker,
        context: DispatchContext,
    ) -> None:
        self._slots = slots
        self._upstream = upstream
        self._suspect_tracker = suspect_tracker
        self._context = context
        self._budget = TokenBucketRetryBudget()

    async def run(self, request: DispatchRequest) -> _CallResult:
        """Send a request, with retries while they are allowed.

        Args:
            request: The request.

        Returns:
            The completion, or the failure of the last send.

        Raises:
            BodyError: If the caller disconnected before the request was sent.
        """
        while True:
            suspect = await self._suspect_tracker.find(request)
            if suspect is not None and suspect.is_quarantined:
                detail = f'{len(suspect.incidents)} servers were lost under it'
                return Err(request.failure(FailureKind.QUARANTINED, detail))
            attempt = await self._attempt(request, suspect)
            if not self._may_retry(request, attempt):
                return attempt.result
            await trio.sleep(self._retry_delay())

    async def _attempt(
        self,
        request: DispatchRequest,
        suspect: Suspect | None,
    ) -> _Attempt:
        ticket = request.ticket(is_exclusive=suspect is not None)
        refusal = await self._slots.acquire(ticket)
        if refusal is not None:
            adjusted = replace(refusal, outcome=request.gate.outcome)
            return _Attempt(Err(adjusted), is_transient=False)
        sent = await self._send(request, ticket)
        if isinstance(sent, Ok):
            self._budget.earn(request.profile.retry_ratio)
            if suspect is not None:
                self._suspect_tracker.clear_suspect(suspect)
            return _Attempt(Ok(sent.ok_value), is_transient=False)
        send_failure = sent.err_value
        if isinstance(send_failure, Unanswered | Truncated):
            await self._suspect_tracker.record_loss(request)
        failure = failure_of(send_failure, request.gate)
        return _Attempt(Err(failure), is_transient=_is_transient(send_failure))

    async def _send(
        self, request: DispatchRequest, ticket: Ticket
    ) -> _SendResult:
        end = SendEnd.UNUSED
        try:
            sent = await self._upstream.exchange(
                request.upstream_request(),
                request.sink,
            )
            end = _end_of(sent)
        except trio.Cancelled:
            end = self._end_of_cancelled(request)
            raise
        finally:
            self._slots.release(ticket, end)
        if isinstance(sent, Err) and isinstance(sent.err_value, Refused):
            request.gate.record_refusal()
        return sent

    def _may_retry(self, request: DispatchRequest, attempt: _Attempt) -> bool:
        return (
            attempt.is_transient
            and request.gate.may_send
            and request.body.can_rewind
            and self._budget.spend()
        )

    def _end_of_cancelled(self, request: DispatchRequest) -> SendEnd:
        is_overdue = self._context.clock.now() >= request.expires_at
        return SendEnd.OVERDUE if is_overdue else SendEnd.UNUSED

    def _retry_delay(self) -> float:
        return _RETRY_DELAY_SECONDS * (1 + self._context.random.random())


def _is_transient(send_failure: UpstreamFailure) -> bool:
    """Return whether a retry at the same server may succeed."""
    if isinstance(send_failure, Refused):
        return send_failure.reason is RefusalReason.SHED
    return isinstance(send_failure, NotConnected | NotSent | Unanswered)


def _end_of(sent: _SendResult) -> SendEnd:
    if isinstance(sent, Ok):
        return SendEnd.ANSWERED
    send_failure = sent.err_value
    if isinstance(send_failure, Refused):
        is_shed = send_failure.reason is RefusalReason.SHED
        return SendEnd.SHED if is_shed else SendEnd.UNUSED
    if isinstance(
        send_failure, NotConnected | NotSent | Unanswered | Truncated
    ):
        return SendEnd.LOST
    return SendEnd.UNUSED
