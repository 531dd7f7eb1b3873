"""All dispatchers of one process."""

import trio
from result import Err, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatcher_table import (
    DispatcherTable,
    MakeUpstream,
)
from carobwalk.dispatch._h11_upstream import H11Upstream
from carobwalk.dispatch._presence import Presence
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
    """Passes requests to the dispatchers of their backend servers.

    Args:
        context: Shared collaborators.
        make_upstream: Opens the connections to a backend server; takes the
            server, the most connections and the clock.
    """

    def __init__(
        self,
        context: DispatchContext,
        make_upstream: MakeUpstream = H11Upstream,
    ) -> None:
        self._context = context
        self._presence = Presence()
        self._quarantine = Quarantine(context.wall_clock)
        self._chooser = ServerChooser(context.clock)
        self._stopping = False
        self._dispatchers = DispatcherTable(
            context,
            make_upstream,
            self._quarantine,
            self._presence,
        )

    @property
    def present(self) -> int:
        """Requests that wait or run at all dispatchers."""
        return self._presence.count

    @property
    def quarantine(self) -> Quarantine:
        """Requests that are suspected or not sent any more."""
        return self._quarantine

    @property
    def chooser(self) -> ServerChooser:
        """Choice of a backend server for unkeyed work."""
        return self._chooser

    @property
    def suspected(self) -> frozenset[ServerId]:
        """Backend servers that stopped answering requests."""
        return self._dispatchers.suspected

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the tasks of the pool, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._dispatchers.keep_runs_in(nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._dispatchers.keep_runs_in(None)

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Run a request at the dispatcher of its placement's server.

        Args:
            call: The request.
            placement: Backend server, shard and fence token.
            sink: Receiver of the answer.
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

    async def forget(self, server: ServerId) -> None:
        """Drop the dispatcher of a server whose lease this process lost.

        Requests that are on their way end on their own. The next dispatcher
        knows nothing of earlier requests, as if another process had it.

        Args:
            server: Name of the backend server.
        """
        await self._dispatchers.drop(server)

    async def drain(self, seconds: float) -> bool:
        """Refuse new requests and wait for the others.

        Args:
            seconds: Longest wait.

        Returns:
            Whether all requests ended.
        """
        self._stopping = True
        with trio.move_on_after(seconds):
            while self.present:
                await trio.sleep(_DRAIN_POLL_SECONDS)
        await self._dispatchers.clear()
        return not self.present


def _not_run(kind: FailureKind, detail: str) -> Failure:
    return Failure(kind=kind, outcome=Outcome.NOT_RUN, detail=detail)
