"""The one sender of requests to a backend server."""

import functools

import trio
from result import Err, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._events import RequestEnded
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._replay_body import ReplayBody
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._sender import Sender
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._upstream import Upstream
from carobwalk.model import (
    Call,
    Completion,
    Endpoint,
    Failure,
    Outcome,
    Placement,
    ReplySink,
    ServerId,
)
from carobwalk.profiles import Profile

_Ending = Result[Completion, Failure]


class Dispatcher:
    """Queue, slots and sends of one backend server.

    Args:
        server: The backend server.
        profile: Settings at first; each request brings the current ones.
        upstream: Connections to the server.
        context: Shared collaborators.
    """

    def __init__(
        self,
        server: Endpoint,
        profile: Profile,
        upstream: Upstream,
        context: DispatchContext,
    ) -> None:
        self._server = server
        self._upstream = upstream
        self._context = context
        self._slots = Slots(profile, context.clock)
        self._sender = Sender(self._slots, upstream, context)
        self._present = 0

    @property
    def present(self) -> int:
        """Requests that wait or run."""
        return self._present

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
        profile: Profile,
    ) -> _Ending:
        """Run a request; cancelling the task cancels the request.

        Args:
            call: The request.
            placement: Backend server and shard.
            sink: Receiver of the answer.
            profile: Current settings of the service.

        Returns:
            The completion, or the failure with its outcome.
        """
        self._slots.apply(profile)
        passage = self._passage(call, placement, sink, profile)
        self._present += 1
        try:
            ending = await self._within_deadline(passage)
        finally:
            self._present -= 1
        self._report(passage, ending)
        return ending

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._upstream.aclose()

    def _passage(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
        profile: Profile,
    ) -> Passage:
        head = call.head
        now = self._context.clock.now()
        allowed = profile.time_limits.get(head.rank, head.deadline)
        return Passage(
            head=head,
            body=ReplayBody(call.body),
            shard=placement.shard,
            sink=sink,
            profile=profile,
            gate=self._gate(call),
            arrived_at=now,
            expires_at=now + min(head.deadline, allowed),
        )

    def _gate(self, call: Call) -> SendGate:
        authorise = functools.partial(
            self._context.leases.authorise,
            ServerId(self._server.name),
            call.head.service,
            call.head.key,
        )
        return SendGate(
            authorise,
            idempotent=call.head.idempotent,
            name=call.head.request_id,
            progress=call.progress,
        )

    async def _within_deadline(self, passage: Passage) -> _Ending:
        remaining = passage.expires_at - self._context.clock.now()
        if remaining <= 0:
            return Err(passage.overdue('no time left at arrival'))
        with trio.move_on_after(remaining):
            return await self._sender.run(passage, solo=False)
        return Err(passage.overdue(f'not ended within {remaining:.3f} s'))

    def _report(self, passage: Passage, ending: _Ending) -> None:
        head = passage.head
        failed = ending.err()
        self._context.events.emit(
            RequestEnded(
                request=head.request_id,
                service=head.service,
                server=self._server.name,
                rank=head.rank.value,
                outcome=(failed.outcome if failed else Outcome.COMPLETE).value,
                kind=failed.kind.value if failed else '',
                sends=passage.gate.sends,
                seconds=self._context.clock.now() - passage.arrived_at,
            ),
        )
