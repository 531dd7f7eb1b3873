"""Backend server of the soak: its lives, its link and its registration."""

import json
import zlib
from collections.abc import Callable
from typing import Protocol

import trio

from carobwalk.model import Address, ServerId
from soak._ledger import Ledger
from soak._link import Link, LinkState
from standins.platform import (
    KeyedBackend,
    KeyHolder,
    KvStore,
    PlatformBackend,
    find_double_owners,
)

KEYED_SERVICE = 'registry'
UNKEYED_SERVICE = 'ledger'
WATCHED_KEYS = tuple(range(100, 65_536, 4_096))
_WORK_SECONDS = 0.02
# Some work is long enough to be under way when a process ends.
_SLOW_EVERY = 8
_SLOW_SECONDS = 1.0
_LEAVING_SECONDS = 1.5
_AWAY_SECONDS = 0.3


class Observer(Protocol):
    """Sees what servers do."""

    ledger: Ledger
    holders_by_id: dict[ServerId, KeyHolder]


class _ObservedServer(PlatformBackend):
    """Server that tells the observer what it runs."""

    observer: Observer

    async def _work(self, http: object, request_id: bytes) -> bool:
        self.observer.ledger.record_run(request_id.decode(), self.name)
        is_slow = zlib.crc32(request_id) % _SLOW_EVERY == 0
        self.seconds = _SLOW_SECONDS if is_slow else _WORK_SECONDS
        return await super()._work(http, request_id)  # type: ignore[arg-type]


class _ObservedKeyed(_ObservedServer, KeyedBackend):
    """Server of keys that tells the observer who holds them."""

    async def _grant(self, body: bytes) -> object:  # type: ignore[override]
        answer = await super()._grant(body)
        ledger = self.observer.ledger
        holders = self.observer.holders_by_id
        now = trio.current_time()
        for line in find_double_owners(holders, WATCHED_KEYS, now):
            ledger.break_promise('two owners', line)
        for key, fence in self.holder.fences_by_key.items():
            ledger.record_fence(key, fence, f'{self.name}@{self.holder.born}')
        return answer


class SoakServer:
    """One place of a backend server, which lives several lives.

    Args:
        name: Name of the place.
        service: Service that it belongs to.
        store: Where it registers.
        observer: Sees what it does.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: KvStore,
        observer: Observer,
    ) -> None:
        self.name = name
        self.link = Link(Address('127.0.0.1', 1))
        self.backend: PlatformBackend | None = None
        self._service = service
        self._store = store
        self._observer = observer
        self._lives = 0
        self._scope = trio.CancelScope()
        self._is_registered = True

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, one life after the other."""
        started: Callable[[], None] = task_status.started
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                await self._live(started)
            started = _nothing
            await trio.sleep(_AWAY_SECONDS)

    def restart(self) -> None:
        """End this life at once, as a crash does; the next one begins."""
        self._observer.holders_by_id.pop(ServerId(self.name), None)
        self._scope.cancel()

    async def leave(self) -> None:
        """Announce the end of this life, wait, and begin the next one."""
        self._register(state='draining')
        await trio.sleep(_LEAVING_SECONDS)
        self._store.records.remove(f'servers/{self.name}')
        self.restart()

    def lapse(self) -> None:
        """Lose the registration though the server lives."""
        self._is_registered = False
        self._store.records.remove(f'servers/{self.name}')

    def heal(self) -> None:
        """End the faults of this place."""
        self.link.switch(LinkState.PASSING)
        if self.backend is not None:
            self.backend.remaining_faults = 0
            if isinstance(self.backend, KeyedBackend):
                self.backend.holder.apply_delay = None
        if not self._is_registered:
            self._is_registered = True
            self._register()

    async def _live(self, started: Callable[[], None]) -> None:
        self._lives += 1
        backend = self._make_backend()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            # Each life has its own address, as on the platform.
            self.link = Link(Address('127.0.0.1', port))
            await nursery.start(self.link.run)
            nursery.start_soon(trio.serve_listeners, backend.serve, listeners)
            self.backend = backend
            self._register()
            started()
            await trio.sleep_forever()

    def _make_backend(self) -> PlatformBackend:
        if self._service != KEYED_SERVICE:
            plain = _ObservedServer(self.name, _WORK_SECONDS)
            plain.observer = self._observer
            return plain
        keyed = _ObservedKeyed(self.name, _WORK_SECONDS, WATCHED_KEYS)
        keyed.observer = self._observer
        keyed.holder.born = self._lives
        self._observer.holders_by_id[ServerId(self.name)] = keyed.holder
        return keyed

    def _register(self, state: str = 'ready') -> None:
        if not self._is_registered:
            return
        entry = {
            'service': self._service,
            'address': str(self.link.address),
            'zone': 'dc1',
            'slots': 4,
            'state': state,
            'born': self._lives,
        }
        self._store.records.put(
            f'servers/{self.name}',
            json.dumps(entry).encode(),
        )


def _nothing() -> None:
    """Take the place of telling a start that was told."""
