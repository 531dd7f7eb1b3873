"""All dispatchers of one process."""

from collections import OrderedDict
from collections.abc import Callable

import trio
from result import Err, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatcher import Dispatcher
from carobwalk.dispatch._h11_upstream import H11Upstream
from carobwalk.dispatch._presence import Presence
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._upstream import Upstream
from carobwalk.model import (
    Call,
    Clock,
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

MakeUpstream = Callable[[Endpoint, int, Clock], Upstream]

_MOST_DISPATCHERS = 256
_DRAIN_POLL_SECONDS = 0.02


class DispatchPool:
    """Makes dispatchers on demand and passes requests to them.

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
        self._make_upstream = make_upstream
        self._dispatchers_by_server: OrderedDict[ServerId, Dispatcher]
        self._dispatchers_by_server = OrderedDict()
        self._presence = Presence()
        self._quarantine = Quarantine(context.wall_clock)
        self._stopping = False
        self._nursery: trio.Nursery | None = None

    @property
    def present(self) -> int:
        """Requests that wait or run at all dispatchers."""
        return self._presence.count

    @property
    def quarantine(self) -> Quarantine:
        """Requests that are suspected or not sent any more."""
        return self._quarantine

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the tasks of the pool, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

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
        dispatcher = await self._dispatcher(placement.server, profile)
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
        dispatcher = self._dispatchers_by_server.pop(server, None)
        if dispatcher is not None:
            await dispatcher.aclose()

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
        for server in tuple(self._dispatchers_by_server):
            await self.forget(server)
        return not self.present

    async def _dispatcher(
        self,
        server: Endpoint,
        profile: Profile,
    ) -> Dispatcher | None:
        name = ServerId(server.name)
        dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            if not await self._make_room():
                return None
            dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            dispatcher = self._make(server, profile)
            self._dispatchers_by_server[name] = dispatcher
        self._dispatchers_by_server.move_to_end(name)
        return dispatcher

    def _make(self, server: Endpoint, profile: Profile) -> Dispatcher:
        clock = self._context.clock
        upstream = self._make_upstream(server, profile.connections, clock)
        dispatcher = Dispatcher(
            server,
            profile,
            upstream,
            self._context,
            self._quarantine,
            self._presence,
        )
        if self._nursery is not None:
            dispatcher.keep_runs_in(self._nursery)
        return dispatcher

    async def _make_room(self) -> bool:
        if len(self._dispatchers_by_server) < _MOST_DISPATCHERS:
            return True
        for server, dispatcher in self._dispatchers_by_server.items():
            if not dispatcher.present:
                await self.forget(server)
                return True
        return False


def _not_run(kind: FailureKind, detail: str) -> Failure:
    return Failure(kind=kind, outcome=Outcome.NOT_RUN, detail=detail)
