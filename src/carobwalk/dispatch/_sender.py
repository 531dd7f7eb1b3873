"""Sends of one request to its backend server, with budgeted retries."""

from dataclasses import replace

import trio
from result import Err, Ok, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._failures import failure_of
from carobwalk.dispatch._limit_policy import SendEnd
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._retry_budget import RetryBudget
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._ticket import Ticket
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
from carobwalk.model import Completion, Failure

_RETRY_PAUSE_SECONDS = 0.02

_Sent = Result[Completion, UpstreamFailure]


class Sender:
    """Takes requests through the slots of one backend server.

    Args:
        slots: Slots of the server.
        upstream: Connections to the server.
        context: Shared collaborators.
    """

    def __init__(
        self,
        slots: Slots,
        upstream: Upstream,
        context: DispatchContext,
    ) -> None:
        self._slots = slots
        self._upstream = upstream
        self._context = context
        self._budget = RetryBudget()

    async def run(
        self,
        passage: Passage,
        *,
        solo: bool,
    ) -> Result[Completion, Failure]:
        """Send a request until it is answered or may not be sent again.

        Args:
            passage: The request.
            solo: Whether no other request may run beside it.
        """
        while True:
            ticket = passage.ticket(solo=solo)
            refusal = await self._slots.acquire(ticket)
            if refusal is not None:
                return Err(replace(refusal, outcome=passage.gate.outcome))
            sent = await self._send(passage, ticket)
            if isinstance(sent, Ok):
                self._budget.earn(passage.profile.retry_ratio)
                return Ok(sent.ok_value)
            failure = failure_of(sent.err_value, passage.gate)
            if not self._may_retry(passage, sent.err_value):
                return Err(failure)
            await trio.sleep(self._pause())

    async def _send(self, passage: Passage, ticket: Ticket) -> _Sent:
        end = SendEnd.UNUSED
        try:
            sent = await self._upstream.exchange(
                passage.upstream_request(),
                passage.sink,
            )
            end = _end_of(sent)
        except trio.Cancelled:
            end = self._end_of_cancelled(passage)
            raise
        finally:
            self._slots.release(ticket, end)
        if isinstance(sent, Err) and isinstance(sent.err_value, Refused):
            passage.gate.disown()
        return sent

    def _may_retry(self, passage: Passage, lost: UpstreamFailure) -> bool:
        return (
            _is_passing(lost)
            and passage.gate.may_send
            and passage.body.can_rewind
            and self._budget.spend()
        )

    def _end_of_cancelled(self, passage: Passage) -> SendEnd:
        is_overdue = self._context.clock.now() >= passage.expires_at
        return SendEnd.OVERDUE if is_overdue else SendEnd.UNUSED

    def _pause(self) -> float:
        return _RETRY_PAUSE_SECONDS * (1 + self._context.random.random())


def _is_passing(lost: UpstreamFailure) -> bool:
    """Return whether a second send to the same server may succeed."""
    if isinstance(lost, Refused):
        return lost.reason is RefusalReason.SHED
    return isinstance(lost, NotConnected | NotSent | Unanswered)


def _end_of(sent: _Sent) -> SendEnd:
    if isinstance(sent, Ok):
        return SendEnd.ANSWERED
    lost = sent.err_value
    if isinstance(lost, Refused):
        is_shed = lost.reason is RefusalReason.SHED
        return SendEnd.SHED if is_shed else SendEnd.UNUSED
    if isinstance(lost, NotConnected | NotSent | Unanswered | Truncated):
        return SendEnd.LOST
    return SendEnd.UNUSED
