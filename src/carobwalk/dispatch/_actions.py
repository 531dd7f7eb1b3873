"""Runs of actions that carry an idempotency key, at most once each."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio
import xxhash
from result import Err, Ok, Result

from carobwalk.dispatch._action_memory import (
    MOST_LEAD_SECONDS,
    ActionMemory,
)
from carobwalk.dispatch._action_record import (
    ActionId,
    ActionRecord,
    KeptAnswer,
)
from carobwalk.dispatch._issue_time import issue_time, lead_of
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._presence import Presence
from carobwalk.dispatch._recording_sink import RecordingSink
from carobwalk.dispatch._tenures import Tenures
from carobwalk.model import (
    CallerGoneError,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    RequestHead,
    ServerId,
)

_Ending = Result[Completion, Failure]
Send = Callable[[Passage], Awaitable[_Ending]]


@dataclass(slots=True, eq=False, kw_only=True)
class _FirstRun:
    """The one run of an action, which may outlive its caller."""

    action: ActionId
    passage: Passage
    sink: RecordingSink
    scope: trio.CancelScope
    ending: _Ending | None = None

    def leave(self) -> None:
        """Go on without the caller, if the whole request is here."""
        self.sink.detach()
        passage = self.passage
        if not (passage.gate.sends and passage.has_whole_body):
            self.scope.cancel()


class Actions:
    """Runs each action once and answers its repeats from memory.

    Args:
        server: Backend server of the dispatcher.
        send: Takes a request through the slots to the server.
        memory: What is remembered.
        tenures: Since when this process alone sends.
        presence: Counts the runs.
    """

    def __init__(
        self,
        server: ServerId,
        send: Send,
        memory: ActionMemory,
        tenures: Tenures,
        presence: Presence,
    ) -> None:
        self._server = server
        self._send = send
        self._memory = memory
        self._tenures = tenures
        self._nursery: trio.Nursery | None = None
        self._presence = presence

    def keep_runs_in(self, nursery: trio.Nursery | None) -> None:
        """Let runs go on in a nursery when their callers leave."""
        self._nursery = nursery

    async def run(self, passage: Passage) -> _Ending:
        """Run an action, join its run, or answer from its record.

        Args:
            passage: The request; it has an idempotency key.
        """
        action = _action_of(passage.head)
        digest = _digest_of(passage.head)
        while True:
            # Until it is known to be new, an earlier request may have run.
            passage.gate.doubt()
            record = self._memory.find(action)
            if record is None:
                return await self._run_new(action, digest, passage)
            if record.digest != digest:
                return Err(_misused_key())
            await record.ended.wait()
            if self._memory.find(action) is record:
                return await self._repeat(passage, record.answer)

    async def _run_new(
        self,
        action: ActionId,
        digest: int,
        passage: Passage,
    ) -> _Ending:
        tenure = passage.gate.read_tenure()
        if isinstance(tenure, Err):
            detail = tenure.err_value.detail
            return Err(passage.failure(FailureKind.NOT_DISPATCHER, detail))
        issued_at = issue_time(action.idempotency_key)
        lead = lead_of(issued_at, self._memory.wall_clock())
        if lead > MOST_LEAD_SECONDS:
            return Err(_key_ahead(lead))
        if lead > 0:
            # A key that ran before the time inside it would look new to a
            # later dispatcher.
            await trio.sleep(lead)
            return await self.run(passage)
        since = self._tenures.begin_of(passage.head)
        if not self._memory.is_new(issued_at, since):
            detail = 'the action may have been sent before this dispatcher'
            return Err(passage.failure(FailureKind.REPEAT_UNSETTLED, detail))
        passage.gate.trust(tenure.ok_value)
        if not self._memory.has_room():
            detail = 'the memory of actions is full'
            return Err(passage.failure(FailureKind.QUEUE_FULL, detail))
        self._memory.begin(action, ActionRecord(digest, issued_at))
        return await self._run_first(action, passage)

    async def _run_first(self, action: ActionId, passage: Passage) -> _Ending:
        sink = RecordingSink(passage.sink)
        first = _FirstRun(
            action=action,
            passage=replace(passage, sink=sink),
            sink=sink,
            scope=trio.CancelScope(deadline=passage.trio_deadline()),
        )
        if self._nursery is None:
            await self._finish(first)
            return first.ending or Err(passage.overdue('not ended in time'))
        ended = self._memory.ended(action)
        self._nursery.start_soon(self._finish, first)
        try:
            await ended.wait()
        except trio.Cancelled:
            first.leave()
            raise
        return first.ending or Err(passage.overdue('not ended in time'))

    async def _finish(self, first: _FirstRun) -> None:
        try:
            with self._presence.hold(), first.scope:
                first.ending = await self._send(first.passage)
        finally:
            self._settle(first)

    def _settle(self, first: _FirstRun) -> None:
        if isinstance(first.ending, Ok):
            self._memory.settle(first.action, first.sink.answer)
        elif first.passage.gate.outcome is Outcome.NOT_RUN:
            self._memory.drop(first.action)
        else:
            self._memory.settle(first.action, None)

    async def _repeat(
        self,
        passage: Passage,
        answer: KeptAnswer | None,
    ) -> _Ending:
        if answer is None or answer.body is None:
            detail = 'the first request of the action has no kept answer'
            return Err(passage.failure(FailureKind.REPEAT_UNSETTLED, detail))
        try:
            await _replay(passage, answer)
        except CallerGoneError:
            detail = 'the caller left a repeated answer'
            return Err(passage.failure(FailureKind.CALLER_GONE, detail))
        completion = Completion(
            status=answer.status,
            server=self._server,
            sent_bytes=0,
            received_bytes=len(answer.body),
        )
        return Ok(completion)


async def _replay(passage: Passage, answer: KeptAnswer) -> None:
    await passage.sink.start(answer.status, answer.headers)
    if answer.body:
        await passage.sink.write(answer.body)


def _action_of(head: RequestHead) -> ActionId:
    return ActionId(
        service=head.service,
        key=head.key,
        idempotency_key=head.idempotency_key or '',
    )


def _digest_of(head: RequestHead) -> int:
    return xxhash.xxh3_64_intdigest(f'{head.method} {head.target}'.encode())


def _key_ahead(lead: float) -> Failure:
    # No dispatcher runs such a key, so none has run it before.
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail=f'the idempotency key was made {lead:.1f} s in the future',
    )


def _misused_key() -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail='the idempotency key belongs to another request',
    )
