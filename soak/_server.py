"""Backend server of the soak, with restarts, link and registration."""

import json
import zlib
from collections.abc import Callable
from typing import Protocol

import trio

from carobwalk.model import Address, ServerId
from soak._invariant_checker import InvariantChecker
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
SAMPLE_KEYS = tuple(range(100, 65_536, 4_096))
_WORK_SECONDS = 0.02
# Some requests are long enough to be in flight when a process ends.
_REQUESTS_PER_SLOW_REQUEST = 8
_SLOW_SECONDS = 1.0
_DRAIN_SECONDS = 1.5
_DOWNTIME_SECONDS = 0.3


class Observer(Protocol):
    """Receives the runs and grants of servers."""

    checker: InvariantChecker
    holders_by_id: dict[ServerId, KeyHolder]


class _ObservedServer(PlatformBackend):
    """Backend server that reports its runs to the observer."""

    observer: Observer

    async def _work(self, http: object, request_id: bytes) -> bool:
        self.observer.checker.record_run(request_id.decode(), self.name)
        is_slow = zlib.crc32(request_id) % _REQUESTS_PER_SLOW_REQUEST == 0
        self.seconds = _SLOW_SECONDS if is_slow else _WORK_SECONDS
        return await super()._work(http, request_id)  # type: ignore[arg-type]


class _ObservedKeyedServer(_ObservedServer, KeyedBackend):
    """Keyed backend server that reports its grants to the observer."""

    async def _grant(self, body: bytes) -> object:  # type: ignore[override]
        answer = await super()._grant(body)
        checker = self.observer.checker
        holders = self.observer.holders_by_id
        now = trio.current_time()
        for line in find_double_owners(holders, SAMPLE_KEYS, now):
            checker.record_violation('two owners', line)
        for key, fence in self.holder.fences_by_key.items():
            checker.record_fence(key, fence, f'{self.name}@{self.holder.born}')
        return answer


class SoakServer:
    """A backend server that can be restarted as a new incarnation.

    Args:
        name: Name of the server.
        service: Service that it belongs to.
        store: Store that it registers in.
        observer: Receives its runs and grants.
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
        self._incarnations = 0
        self._scope = trio.CancelScope()
        self._is_registered = True

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
        self._register(state='draining')
        await trio.sleep(_DRAIN_SECONDS)
        self._store.records.remove(f'servers/{self.name}')
        self.restart()

    def lose_registration(self) -> None:
        """Remove the registration although the server keeps running."""
        self._is_registered = False
        self._store.records.remove(f'servers/{self.name}')

    def heal(self) -> None:
        """End the faults of this server."""
        self.link.switch(LinkState.PASSING)
        if self.backend is not None:
            self.backend.remaining_faults = 0
            if isinstance(self.backend, KeyedBackend):
                self.backend.holder.apply_delay = None
        if not self._is_registered:
            self._is_registered = True
            self._register()

    async def _run_incarnation(self, started: Callable[[], None]) -> None:
        self._incarnations += 1
        backend = self._make_backend()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            # Each incarnation has its own address, as on the platform.
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
        keyed = _ObservedKeyedServer(self.name, _WORK_SECONDS, SAMPLE_KEYS)
        keyed.observer = self._observer
        keyed.holder.born = self._incarnations
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
            'born': self._incarnations,
        }
        self._store.records.put(
            f'servers/{self.name}',
            json.dumps(entry).encode(),
        )


def _no_op() -> None:
    """Do nothing: the start was already reported."""
