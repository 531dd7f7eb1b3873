"""The one sender of requests to a backend server."""

import trio
from result import Err, Result

from carobwalk.dispatch._action_memory import ActionMemory
from carobwalk.dispatch._actions import Actions
from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._events import (
    RequestEnded,
)
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._passages import Passages
from carobwalk.dispatch._presence import Presence
from carobwalk.dispatch._process_state import ProcessState
from carobwalk.dispatch._sender import Sender
from carobwalk.dispatch._server_health import ServerHealth
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._suspicion import Suspicion
from carobwalk.dispatch._tenures import Tenures
from carobwalk.dispatch._upstream import Upstream
from carobwalk.model import (
    BodyError,
    Call,
    Completion,
    Endpoint,
    Failure,
    FailureKind,
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
        process: State that the dispatchers of the process share.
    """

    def __init__(
        self,
        server: Endpoint,
        profile: Profile,
        upstream: Upstream,
        context: DispatchContext,
        process: ProcessState,
    ) -> None:
        self._server = server
        self._upstream = upstream
        self._context = context
        self._presence = Presence(process.presence)
        self._passages = Passages(ServerId(server.name), context)
        self._health = ServerHealth(server.name, context.events)
        self._slots = Slots(profile, context.clock, self._health)
        suspicion = Suspicion(server.name, process.quarantine, context)
        self._sender = Sender(self._slots, upstream, suspicion, context)
        self._actions = Actions(
            ServerId(server.name),
            self._send,
            ActionMemory(
                context.wall_clock,
                context.memory_bytes,
                process.complete_since,
            ),
            Tenures(ServerId(server.name), context),
            self._presence,
        )

    @property
    def present(self) -> int:
        """Requests that wait or run."""
        return self._presence.count

    @property
    def is_suspected(self) -> bool:
        """Whether the server stopped answering requests."""
        return self._health.is_suspected

    def keep_runs_in(self, nursery: trio.Nursery | None) -> None:
        """Let actions run on in a nursery when their callers leave."""
        self._actions.keep_runs_in(nursery)

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
        passage = self._passages.begin(call, placement, sink, profile)
        with self._presence.hold():
            ending = await self._within_deadline(passage)
        self._report(passage, ending)
        return ending

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._upstream.aclose()

    async def _within_deadline(self, passage: Passage) -> _Ending:
        remaining = passage.expires_at - self._context.clock.now()
        if remaining <= 0:
            return Err(passage.overdue('no time left at arrival'))
        with trio.move_on_after(remaining):
            return await self._run(passage)
        return Err(passage.overdue(f'not ended within {remaining:.3f} s'))

    async def _run(self, passage: Passage) -> _Ending:
        head = passage.head
        if head.idempotent or head.idempotency_key is None:
            return await self._send(passage)
        return await self._actions.run(passage)

    async def _send(self, passage: Passage) -> _Ending:
        try:
            return await self._sender.run(passage)
        except BodyError as error:
            return Err(passage.failure(FailureKind.CALLER_GONE, str(error)))

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
