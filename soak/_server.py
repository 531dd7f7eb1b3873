"""Backend server of the soak, with restarts, links and registration."""

from collections.abc import Callable, Iterable
from functools import partial

import trio

from carobwalk.model import Address, ServerId
from soak._link import Link, LinkState
from soak._observed_servers import (
    CHECKED_KEYS,
    ObservedKeyedServer,
    ObservedServer,
    Observer,
    serve_for,
)
from soak._registration import Registration
from standins.platform import KeyedBackend, KvStore, PlatformBackend

KEYED_SERVICE = 'registry'
UNKEYED_SERVICE = 'ledger'
_WORK_SECONDS = 0.02
_DRAIN_SECONDS = 1.5
_DOWNTIME_SECONDS = 0.3


class SoakServer:
    """A backend server that can be restarted as a new incarnation.

    Args:
        name: Name of the server.
        service: Service that it belongs to.
        store: Store that it registers in.
        observer: Receives its runs and grants.
        routers: Names of the routers, each of which has a link of its own.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: KvStore,
        observer: Observer,
        routers: tuple[str, ...],
    ) -> None:
        self.name = name
        self.links_by_router: dict[str, Link] = {}
        self.backend: PlatformBackend | None = None
        self.holds_keys = service == KEYED_SERVICE
        self.registration = Registration(name, service, store)
        self._observer = observer
        self._routers = routers
        self._incarnations = 0
        self._scope = trio.CancelScope()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, one incarnation after the other."""
        started: Callable[[], None] = task_status.started
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                await self._run_incarnation(started)
            started = _no_op
            await trio.sleep(_DOWNTIME_SECONDS)

    def restart(self) -> None:
        """Restart as after a crash."""
        self._observer.holders_by_id.pop(ServerId(self.name), None)
        self._scope.cancel()

    async def leave(self) -> None:
        """Register as draining, wait, and restart."""
        self.registration.drain()
        await trio.sleep(_DRAIN_SECONDS)
        self.registration.remove()
        self.restart()

    def heal(self) -> None:
        """End the faults of this server."""
        self.switch_links(LinkState.PASSING)
        if self.backend is not None:
            self.backend.remaining_faults = 0
            self.backend.notices.limit = None
            self.backend.notices.retry_after = None
        self.order_in_time()
        self.registration.regain()

    def order_in_time(self) -> None:
        """Apply and answer further orders at once."""
        if isinstance(self.backend, KeyedBackend):
            self.backend.holder.apply_delay = None
            self.backend.holder.repeat_delay = None
            self.backend.holder.release_delay = 0

    def switch_links(
        self, state: LinkState, routers: Iterable[str] | None = None
    ) -> None:
        """Change the state of the links of some routers, of all by default."""
        for router in self._routers if routers is None else routers:
            self.links_by_router[router].switch(state)

    async def _run_incarnation(self, started: Callable[[], None]) -> None:
        self._incarnations += 1
        backend = self._make_backend()
        async with trio.open_nursery() as nursery:
            # Each incarnation has its own address, as on the platform.
            self.links_by_router = {
                router: await _open_link(backend, router, nursery)
                for router in self._routers
            }
            self.backend = backend
            self.registration.register(
                self._incarnations, self._record_addresses()
            )
            started()
            await trio.sleep_forever()

    def _record_addresses(self) -> str:
        """Return the first link's address, which stands for all of them."""
        links = self.links_by_router
        registered = str(links[self._routers[0]].address)
        for router, link in links.items():
            self._observer.address_book.record(
                registered, router, str(link.address)
            )
        return registered

    def _make_backend(self) -> PlatformBackend:
        if not self.holds_keys:
            plain = ObservedServer(self.name, _WORK_SECONDS)
            plain.observer = self._observer
            return plain
        keyed = ObservedKeyedServer(self.name, _WORK_SECONDS, CHECKED_KEYS)
        keyed.observer = self._observer
        keyed.holder.born = self._incarnations
        self._observer.holders_by_id[ServerId(self.name)] = keyed.holder
        return keyed


async def _open_link(
    backend: PlatformBackend, router: str, nursery: trio.Nursery
) -> Link:
    """Serve a backend server for one router; return the link to it."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    serve = partial(serve_for, backend, router)
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    link = Link(Address('127.0.0.1', port))
    await nursery.start(link.run)
    return link


def _no_op() -> None:
    """Do nothing: the start was already reported."""
