"""Composition root: wires the parts of a process and runs them."""

import signal
from typing import Final

import trio

from carobwalk.app._build_administration import build_administration
from carobwalk.app._build_dispatch import build_dispatch
from carobwalk.app._build_entry import build_entry
from carobwalk.app._build_follower import build_follower
from carobwalk.app._build_ownership import build_ownership
from carobwalk.app._core import build_core
from carobwalk.app._guarded_forwarder import GuardedForwarder
from carobwalk.app._listeners import open_listeners
from carobwalk.app._quarantine_desk import ProcessQuarantineDesk
from carobwalk.app._quarantine_spread import QuarantineSpread
from carobwalk.app._stop import ProcessStopped, ProcessStopping
from carobwalk.dispatch import Quarantine
from carobwalk.http import serve_http
from carobwalk.profiles import Catalogue
from carobwalk.settings import Settings

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Process:
    """One process of the system.

    Args:
        settings: Validated settings.

    Raises:
        OSError: If the log can not be opened.
    """

    def __init__(self, settings: Settings) -> None:
        self._core = build_core(settings)
        self._role = build_ownership(self._core, self._catalogue)
        self._follower = build_follower(
            self._core,
            self._role.hosts.entries,
            self._is_coordinating,
        )
        self._spread = QuarantineSpread(
            self._core,
            self._role.hosts.entries,
            self._quarantine,
        )
        self._pool = build_dispatch(
            self._core,
            self._role.leases,
            self._catalogue,
            self._spread.tell,
        )
        self._guarded = GuardedForwarder(self._pool, self._core.events)
        self._entry = build_entry(
            self._core,
            self._role.placements,
            self._guarded,
            self._pool.chooser,
            self._catalogue,
        )
        self._administration = build_administration(
            self._core,
            self._follower,
            self._role.placements,
            ProcessQuarantineDesk(
                self._quarantine,
                self._spread,
                self._core.events,
            ),
        )

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        Returns:
            Whether every request in flight finished.

        Raises:
            OSError: If an address can not be listened on.
        """
        try:
            return await self._run()
        finally:
            self._core.log.close()

    async def _run(self) -> bool:
        core = self._core
        listeners = await open_listeners(core.settings.listen)
        async with trio.open_nursery() as nursery:
            await nursery.start(core.hub.run, listeners.peers, self._guarded)
            await nursery.start(self._pool.run)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._role.run)
            nursery.start_soon(self._spread.run)
            nursery.start_soon(self._entry.run, listeners.callers)
            nursery.start_soon(
                serve_http,
                self._administration,
                listeners.administration,
                core.events,
            )
            is_graceful = await self._wait_and_stop()
            nursery.cancel_scope.cancel()
        return is_graceful

    async def _wait_and_stop(self) -> bool:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as received:
            number = await anext(received)
            cause = signal.Signals(number).name
            self._core.events.emit(ProcessStopping(cause))
        return await self._stop()

    async def _stop(self) -> bool:
        """Hand the roles over and let the requests in flight finish."""
        seconds = self._core.settings.limits.drain_seconds
        await self._role.leave()
        is_entry_done = await self._entry.drain(seconds)
        is_pool_done = await self._pool.drain(seconds)
        is_graceful = is_entry_done and is_pool_done
        self._core.events.emit(ProcessStopped(is_graceful=is_graceful))
        return is_graceful

    def _catalogue(self) -> Catalogue:
        return self._follower.current()

    def _quarantine(self) -> Quarantine:
        return self._pool.quarantine

    def _is_coordinating(self) -> bool:
        return bool(self._role.snapshot().coordinating)
