"""Sends of one request to its backend server, with budgeted retries."""

from dataclasses import dataclass, replace

import trio
from result import Err, Ok, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._failures import failure_of
from carobwalk.dispatch._limit_policy import SendEnd
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._retry_budget import RetryBudget
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._suspect import Suspect
from carobwalk.dispatch._suspicion import Suspicion
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
from carobwalk.model import Completion, Failure, FailureKind

_RETRY_PAUSE_SECONDS = 0.02

_Sent = Result[Completion, UpstreamFailure]
_Ending = Result[Completion, Failure]


@dataclass(frozen=True, slots=True)
class _Attempt:
    """How one send ended, and whether another may succeed."""

    ending: _Ending
    is_passing: bool


class Sender:
    """Takes requests through the slots of one backend server.

    Args:
        slots: Slots of the server.
        upstream: Connections to the server.
        suspicion: Link to the quarantine.
        context: Shared collaborators.
    """

    def __init__(
        self,
        slots: Slots,
        upstream: Upstream,
        suspicion: Suspicion,
        context: DispatchContext,
    ) -> None:
        self._slots = slots
        self._upstream = upstream
        self._suspicion = suspicion
        self._context = context
        self._budget = RetryBudget()

    async def run(self, passage: Passage) -> _Ending:
        """Send a request until it is answered or may not be sent again.

        Args:
            passage: The request.

        Raises:
            BodyError: If the caller left before the request was sent.
        """
        while True:
            suspect = await self._suspicion.find(passage)
            if suspect is not None and suspect.is_convicted:
                detail = f'{len(suspect.incidents)} servers were lost under it'
                return Err(passage.failure(FailureKind.QUARANTINED, detail))
            attempt = await self._attempt(passage, suspect)
            if not self._may_retry(passage, attempt):
                return attempt.ending
            await trio.sleep(self._pause())

    async def _attempt(
        self,
        passage: Passage,
        suspect: Suspect | None,
    ) -> _Attempt:
        ticket = passage.ticket(solo=suspect is not None)
        refusal = await self._slots.acquire(ticket)
        if refusal is not None:
            ended = replace(refusal, outcome=passage.gate.outcome)
            return _Attempt(Err(ended), is_passing=False)
        sent = await self._send(passage, ticket)
        if isinstance(sent, Ok):
            self._budget.earn(passage.profile.retry_ratio)
            if suspect is not None:
                self._suspicion.absolve(suspect)
            return _Attempt(Ok(sent.ok_value), is_passing=False)
        lost = sent.err_value
        if isinstance(lost, Unanswered | Truncated):
            await self._suspicion.blame(passage)
        failure = failure_of(lost, passage.gate)
        return _Attempt(Err(failure), is_passing=_is_passing(lost))

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

    def _may_retry(self, passage: Passage, attempt: _Attempt) -> bool:
        return (
            attempt.is_passing
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
