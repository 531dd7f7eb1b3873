"""Dispatchers by backend server, made on demand."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatcher import Dispatcher
from carobwalk.dispatch._presence import Presence
from carobwalk.dispatch._process_state import ProcessState
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._upstream import Upstream
from carobwalk.model import Clock, Endpoint, ServerId
from carobwalk.profiles import Profile

MakeUpstream = Callable[[Endpoint, int, Clock], Upstream]

_MOST_DISPATCHERS = 256


class DispatcherTable:
    """Bounded table of dispatchers; an idle one makes room for a new one.

    Args:
        context: Shared collaborators.
        make_upstream: Opens the connections to a backend server.
        quarantine: Suspects of the process.
        presence: Counts the requests of the process.
    """

    def __init__(
        self,
        context: DispatchContext,
        make_upstream: MakeUpstream,
        quarantine: Quarantine,
        presence: Presence,
    ) -> None:
        self._context = context
        self._make_upstream = make_upstream
        self._quarantine = quarantine
        self._presence = presence
        self._complete_since: float | None = None
        self._dispatchers_by_server: OrderedDict[ServerId, Dispatcher]
        self._dispatchers_by_server = OrderedDict()
        self._nursery: trio.Nursery | None = None

    @property
    def suspected(self) -> frozenset[ServerId]:
        """Backend servers that stopped answering requests."""
        return frozenset(
            name
            for name, dispatcher in self._dispatchers_by_server.items()
            if dispatcher.is_suspected
        )

    def keep_runs_in(self, nursery: trio.Nursery | None) -> None:
        """Let actions run on in a nursery when their callers leave."""
        self._nursery = nursery
        self._begin()
        for dispatcher in self._dispatchers_by_server.values():
            dispatcher.keep_runs_in(nursery)

    async def get(
        self,
        server: Endpoint,
        profile: Profile,
    ) -> Dispatcher | None:
        """Return the dispatcher of a server, made if it is new.

        Args:
            server: The backend server.
            profile: Current settings of its service.

        Returns:
            The dispatcher; ``None`` where all of too many are busy.
        """
        self._begin()
        name = ServerId(server.name)
        dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            if not await self._make_room():
                return None
            # Another task may have made it while room was made.
            dispatcher = self._dispatchers_by_server.get(name)
        if dispatcher is None:
            dispatcher = self._make(server, profile)
            self._dispatchers_by_server[name] = dispatcher
        self._dispatchers_by_server.move_to_end(name)
        return dispatcher

    async def drop(self, server: ServerId) -> None:
        """Take out a dispatcher; its requests end on their own."""
        dispatcher = self._dispatchers_by_server.pop(server, None)
        if dispatcher is not None:
            # Its actions are forgotten, so later ones may be repeats of them.
            self._complete_since = self._context.wall_clock()
            await dispatcher.aclose()

    async def clear(self) -> None:
        """Take out all dispatchers."""
        for server in tuple(self._dispatchers_by_server):
            await self.drop(server)

    def _begin(self) -> float:
        """Return since when no action of this process was forgotten."""
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
                self._presence,
                self._begin(),
            ),
        )
        if self._nursery is not None:
            dispatcher.keep_runs_in(self._nursery)
        return dispatcher

    async def _make_room(self) -> bool:
        if len(self._dispatchers_by_server) < _MOST_DISPATCHERS:
            return True
        for server, dispatcher in self._dispatchers_by_server.items():
            if not dispatcher.present:
                await self.drop(server)
                return True
        return False
