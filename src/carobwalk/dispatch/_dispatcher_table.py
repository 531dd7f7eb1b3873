"""Table of dispatchers by backend server, created on demand."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatcher import Dispatcher
from carobwalk.dispatch._in_flight_counter import InFlightCounter
from carobwalk.dispatch._process_state import ProcessState
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._upstream import Upstream
from carobwalk.model import Clock, Endpoint, ServerId
from carobwalk.profiles import Profile

MakeUpstream = Callable[[Endpoint, int, Clock], Upstream]

_MAX_DISPATCHERS = 256


class DispatcherTable:
    """Bounded table of dispatchers; idle ones are evicted when it is full.

    Args:
        context: Shared dependencies.
        make_upstream: Creates the connection pool of a backend server.
        quarantine: Suspected requests of the process.
        in_flight: Counts the requests of the process.
    """

    def __init__(
        self,
        context: DispatchContext,
        make_upstream: MakeUpstream,
        quarantine: Quarantine,
        in_flight: InFlightCounter,
    ) -> None:
        self._context = context
        self._make_upstream = make_upstream
        self._quarantine = quarantine
        self._in_flight = in_flight
        self._complete_since: float | None = None
        self._dispatchers_by_server: OrderedDict[ServerId, Dispatcher]
        self._dispatchers_by_server = OrderedDict()
        self._nursery: trio.Nursery | None = None

    @property
    def suspected(self) -> frozenset[ServerId]:
        """Backend servers that have stopped responding to requests."""
        return frozenset(
            name
            for name, dispatcher in self._dispatchers_by_server.items()
            if dispatcher.is_suspected
        )

    def use_nursery(self, nursery: trio.Nursery | None) -> None:
        """Set the nursery in which actions outlive their callers."""
        self._nursery = nursery
        self._init_complete_since()
        for dispatcher in self._dispatchers_by_server.values():
            dispatcher.use_nursery(nursery)

    async def get(
        self,
        server: Endpoint,
        profile: Profile,
    ) -> Dispatcher | None:
        """Return the dispatcher of a server, creating it if necessary.

        Args:
            server: The backend server.
            profile: Current settings of its service.

        Returns:
            The dispatcher; ``None`` if the table is full of busy ones.
        """
        self._init_complete_since()
        name = ServerId(server.name)
        dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            if not await self._evict_if_full():
                return None
            # Another task may have created it during the eviction.
            dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            dispatcher = self._make(server, profile)
            self._dispatchers_by_server[name] = dispatcher
        self._dispatchers_by_server.move_to_end(name)
        return dispatcher

    async def drop(self, server: ServerId) -> None:
        """Remove a dispatcher; requests in flight are left to finish."""
        dispatcher = self._dispatchers_by_server.pop(server, None)
        if dispatcher is not None:
            # Its idempotency cache is lost, so later actions may be repeats.
            self._complete_since = self._context.wall_clock()
            await dispatcher.aclose()

    async def clear(self) -> None:
        """Remove all dispatchers."""
        for server in tuple(self._dispatchers_by_server):
            await self.drop(server)

    def _init_complete_since(self) -> float:
        """Return since when all actions of this process are cached."""
        if self._complete_since is None:
            self._complete_since = self._context.wall_clock()
        return self._complete_since

    def _make(self, server: Endpoint, profile: Profile) -> Dispatcher:
        clock = self._context.clock
        dispatcher = Dispatcher(
            server,
            profile,
            self._make_upstream(server, profile.connections, clock),
            self._context,
            ProcessState(
                self._quarantine,
                self._in_flight,
                self._init_complete_since(),
            ),
        )
        if self._nursery is not None:
            dispatcher.use_nursery(self._nursery)
        return dispatcher

    async def _evict_if_full(self) -> bool:
        if len(self._dispatchers_by_server) < _MAX_DISPATCHERS:
            return True
        for server, dispatcher in self._dispatchers_by_server.items():
            if not dispatcher.in_flight:
                await self.drop(server)
                return True
        return False
