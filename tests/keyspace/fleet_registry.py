"""Registry of a simulated fleet, which each process sees with its own lag."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.model import Clock, DataCentreName, ServerId

# A removed entry counts as leaving for some time, and is dropped afterwards.
_EXPIRY_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class _Change:
    due: float
    apply: Callable[[ServerDirectory], None]


class RegistryView:
    """What one process sees of the registry.

    Changes arrive in order, ``lag`` seconds late. While ``is_stuck``, none
    arrive; they follow together afterwards, as after a lost watch.

    Args:
        clock: Clock of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self.directory = ServerDirectory(clock, NullEventLog())
        self.directory.is_loaded = True
        self.lag: float = 0
        self.nursery: trio.Nursery | None = None
        self._pending: deque[_Change] = deque()
        self._is_stuck = False
        self._released = trio.Event()

    @property
    def is_stuck(self) -> bool:
        """Whether no changes arrive."""
        return self._is_stuck

    @is_stuck.setter
    def is_stuck(self, is_stuck: bool) -> None:
        self._is_stuck = is_stuck
        if not is_stuck:
            self._released.set()
            self._released = trio.Event()

    def deliver(self, apply: Callable[[ServerDirectory], None]) -> None:
        """Apply a change, after those that have not arrived yet."""
        is_late = self.lag or self._is_stuck or self._pending
        if not is_late or self.nursery is None:
            apply(self.directory)
            return
        self._pending.append(_Change(trio.current_time() + self.lag, apply))
        if len(self._pending) == 1:
            self.nursery.start_soon(self._apply_pending)

    async def _apply_pending(self) -> None:
        while self._pending:
            await trio.sleep_until(self._pending[0].due)
            while self._is_stuck:
                await self._released.wait()
            self._pending[0].apply(self.directory)
            self._pending.popleft()


class FleetRegistry:
    """Entries of all backend servers, and the view of each process.

    Args:
        clock: Clock of the processes.
    """

    def __init__(self, clock: Clock) -> None:
        self.views_by_name: dict[str, RegistryView] = {}
        self.nursery: trio.Nursery | None = None
        self._clock = clock
        self._entries_by_id: dict[ServerId, BackendServer] = {}
        self._evacuated: set[DataCentreName] = set()

    def evacuate(self, data_centre: DataCentreName) -> None:
        """Write the record that evacuates a data centre."""
        self._evacuated.add(data_centre)
        apply = partial(_evacuate, data_centre, self._clock.now())
        for view in self.views_by_name.values():
            view.deliver(apply)

    def end_evacuation(self, data_centre: DataCentreName) -> None:
        """Remove the record that evacuates a data centre."""
        self._evacuated.discard(data_centre)
        apply = partial(_end_evacuation, data_centre)
        for view in self.views_by_name.values():
            view.deliver(apply)

    def get(self, server: ServerId) -> BackendServer | None:
        """Return the current entry of a server, ``None`` if it has none."""
        return self._entries_by_id.get(server)

    def put(self, server: BackendServer, revision: int) -> None:
        """Write the entry of a server."""
        self._entries_by_id[server.id] = server
        apply = partial(_put, server, revision)
        for view in self.views_by_name.values():
            view.deliver(apply)

    def remove(self, server: ServerId) -> None:
        """Remove the entry of a server."""
        self._entries_by_id.pop(server, None)
        for name in self.views_by_name:
            self.hide(server, name)

    def hide(self, server: ServerId, name: str) -> None:
        """Remove the entry of a server from the view of one process."""
        view = self.views_by_name[name]
        view.deliver(lambda directory: directory.remove(server, 'removed'))
        if self.nursery is not None:
            self.nursery.start_soon(_expire_later, view)

    def show(self, server: ServerId, name: str) -> None:
        """Write the current entry of a server, if any, to one view again."""
        entry = self.get(server)
        view = self.views_by_name.get(name)
        if entry is not None and view is not None:
            view.deliver(partial(_put, entry, 0))

    def add_view(self, name: str) -> RegistryView:
        """Return the view of a new process, which lists all entries."""
        view = RegistryView(self._clock)
        view.nursery = self.nursery
        for entry in self._entries_by_id.values():
            view.directory.put(entry, 0)
        view.directory.evacuations.replace(self._evacuated)
        self.views_by_name[name] = view
        return view


def _put(
    server: BackendServer, revision: int, directory: ServerDirectory
) -> None:
    directory.put(server, revision)


def _evacuate(
    data_centre: DataCentreName, written_at: float, directory: ServerDirectory
) -> None:
    directory.evacuations.begin(data_centre, written_at)


def _end_evacuation(
    data_centre: DataCentreName, directory: ServerDirectory
) -> None:
    directory.evacuations.end(data_centre)


async def _expire_later(view: RegistryView) -> None:
    await trio.sleep(view.lag)
    while view.is_stuck:
        await trio.sleep(_EXPIRY_SECONDS)
    await trio.sleep(_EXPIRY_SECONDS)
    view.directory.expire()
