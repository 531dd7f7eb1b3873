"""Dispatcher of a backend server."""

import trio
from result import Err, Result

from carobwalk.dispatch._action_runner import ActionRunner
from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatch_request import DispatchRequest
from carobwalk.dispatch._events import (
    RequestEnded,
)
from carobwalk.dispatch._idempotency_cache import IdempotencyCache
from carobwalk.dispatch._in_flight_counter import InFlightCounter
from carobwalk.dispatch._lease_history import LeaseHistory
from carobwalk.dispatch._process_state import ProcessState
from carobwalk.dispatch._request_factory import RequestFactory
from carobwalk.dispatch._sender import Sender
from carobwalk.dispatch._server_health import ServerHealth
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._suspect_tracker import SuspectTracker
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

_CallResult = Result[Completion, Failure]


class Dispatcher:
    """Queues requests for one backend server and sends them.

    It is the only sender of requests to the server.

    Args:
        server: The backend server.
        profile: Initial settings; each request brings the current ones.
        upstream: Connections to the server.
        context: Shared dependencies.
        process: State shared by the dispatchers of the process.
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
        self._in_flight = InFlightCounter(process.in_flight)
        self._request_factory = RequestFactory(ServerId(server.name), context)
        self._health = ServerHealth(server.name, context.events)
        self._slots = Slots(profile, context.clock, self._health)
        suspect_tracker = SuspectTracker(
            server.name, process.quarantine, context
        )
        self._sender = Sender(self._slots, upstream, suspect_tracker, context)
        self._action_runner = ActionRunner(
            ServerId(server.name),
            self._send,
            IdempotencyCache(
                context.wall_clock,
                context.cache_bytes,
                process.complete_since,
            ),
            LeaseHistory(ServerId(server.name), context),
            self._in_flight,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that are queued or running."""
        return self._in_flight.count

    @property
    def is_suspected(self) -> bool:
        """Whether the server has stopped responding to requests."""
        return self._health.is_suspected

    def use_nursery(self, nursery: trio.Nursery | None) -> None:
        """Set the nursery in which actions outlive their callers."""
        self._action_runner.use_nursery(nursery)

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
        profile: Profile,
    ) -> _CallResult:
        """Forward a request; cancelling the task cancels the request.

        Args:
            call: The request.
            placement: Backend server and shard.
            sink: Receiver of the response.
            profile: Current settings of the service.

        Returns:
            The completion, or the failure with its outcome.
        """
        self._slots.apply(profile)
        request = self._request_factory.create(call, placement, sink, profile)
        with self._in_flight.track():
            result = await self._within_deadline(request)
        self._report(request, result)
        return result

    async def aclose(self) -> None:
        """Close the idle connections to the server."""
        await self._upstream.aclose()

    async def _within_deadline(self, request: DispatchRequest) -> _CallResult:
        remaining = request.expires_at - self._context.clock.now()
        if remaining <= 0:
            return Err(request.deadline_failure('no time left at arrival'))
        with trio.move_on_after(remaining):
            return await self._run(request)
        return Err(
            request.deadline_failure(f'not ended within {remaining:.3f} s')
        )

    async def _run(self, request: DispatchRequest) -> _CallResult:
        head = request.head
        if head.idempotent or head.idempotency_key is None:
            return await self._send(request)
        return await self._action_runner.run(request)

    async def _send(self, request: DispatchRequest) -> _CallResult:
        try:
            return await self._sender.run(request)
        except BodyError as error:
            return Err(request.failure(FailureKind.CALLER_GONE, str(error)))

    def _report(self, request: DispatchRequest, result: _CallResult) -> None:
        head = request.head
        failed = result.err()
        self._context.events.emit(
            RequestEnded(
                request=head.request_id,
                service=head.service,
                server=self._server.name,
                rank=head.rank.value,
                outcome=(failed.outcome if failed else Outcome.COMPLETE).value,
                kind=failed.kind.value if failed else '',
                sends=request.gate.sends,
                seconds=self._context.clock.now() - request.arrived_at,
            ),
        )
