"""Pool of the dispatchers of one process."""

import trio
from result import Err, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatcher_table import (
    DispatcherTable,
    MakeUpstream,
)
from carobwalk.dispatch._h11_upstream import H11Upstream
from carobwalk.dispatch._in_flight_counter import InFlightCounter
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._server_chooser import ServerChooser
from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
    ReplySink,
    ServerId,
)

_DRAIN_POLL_SECONDS = 0.02


class DispatchPool:
    """Routes requests to the dispatchers of their backend servers.

    Args:
        context: Shared dependencies.
        make_upstream: Creates the connection pool of a backend server from
            the server, the maximum number of connections and the clock.
    """

    def __init__(
        self,
        context: DispatchContext,
        make_upstream: MakeUpstream = H11Upstream,
    ) -> None:
        self._context = context
        self._in_flight = InFlightCounter()
        self._quarantine = Quarantine(context.wall_clock)
        self._chooser = ServerChooser(context.clock)
        self._stopping = False
        self._dispatchers = DispatcherTable(
            context,
            make_upstream,
            self._quarantine,
            self._in_flight,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that are queued or running."""
        return self._in_flight.count

    @property
    def quarantine(self) -> Quarantine:
        """Suspected and quarantined requests."""
        return self._quarantine

    @property
    def chooser(self) -> ServerChooser:
        """Selects backend servers for unkeyed requests."""
        return self._chooser

    @property
    def suspected(self) -> frozenset[ServerId]:
        """Backend servers that have stopped responding to requests."""
        return self._dispatchers.suspected

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the background tasks of the pool until cancelled."""
        async with trio.open_nursery() as nursery:
            self._dispatchers.use_nursery(nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._dispatchers.use_nursery(None)

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward a request through the dispatcher of its backend server.

        Args:
            call: The request.
            placement: Backend server, shard and fencing token.
            sink: Receiver of the response.

        Returns:
            The completion, or the failure with its outcome.
        """
        if self._stopping:
            return Err(_not_run(FailureKind.STOPPING, 'the process stops'))
        service = call.head.service
        profile = self._context.catalogue().profile_of(service)
        if profile is None:
            kind = FailureKind.UNKNOWN_SERVICE
            return Err(_not_run(kind, f'no service {service}'))
        dispatcher = await self._dispatchers.get(placement.server, profile)
        if dispatcher is None:
            kind = FailureKind.QUEUE_FULL
            return Err(_not_run(kind, 'too many busy backend servers'))
        return await dispatcher.forward(call, placement, sink, profile)

    async def drain(self, seconds: float) -> bool:
        """Refuse new requests and wait for those in flight.

        Args:
            seconds: Maximum wait in seconds.

        Returns:
            Whether all requests finished in time.
        """
        self._stopping = True
        with trio.move_on_after(seconds):
            while self.in_flight:
                await trio.sleep(_DRAIN_POLL_SECONDS)
        await self._dispatchers.clear()
        return not self.in_flight


def _not_run(kind: FailureKind, detail: str) -> Failure:
    return Failure(kind=kind, outcome=Outcome.NOT_RUN, detail=detail)
