"""Composition root of a process with its own administration API."""

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
from carobwalk.app._quarantine_manager import QuarantineManager
from carobwalk.app._quarantine_replicator import QuarantineReplicator
from carobwalk.app._stop_events import ProcessStopped, ProcessStopping
from carobwalk.dispatch import Quarantine
from carobwalk.http import serve_http
from carobwalk.profiles import Catalogue
from carobwalk.settings import Settings

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Process:
    """One process with its own administration API.

    Args:
        settings: Validated settings.

    Raises:
        OSError: If the log file cannot be opened.
    """

    def __init__(self, settings: Settings) -> None:
        self._core = build_core(settings)
        self._ownership_role = build_ownership(self._core, self._catalogue)
        self._follower = build_follower(
            self._core,
            self._ownership_role.hosts.entries,
            self._is_coordinating,
        )
        self._quarantine_replicator = QuarantineReplicator(
            self._core,
            self._ownership_role.hosts.entries,
            self._quarantine,
        )
        self._dispatch_pool = build_dispatch(
            self._core,
            self._ownership_role.leases,
            self._catalogue,
            self._quarantine_replicator.broadcast,
        )
        self._guarded_forwarder = GuardedForwarder(
            self._dispatch_pool,
            self._core.events,
        )
        self._entry = build_entry(
            self._core,
            self._ownership_role.placements,
            self._guarded_forwarder,
            self._dispatch_pool.chooser,
            self._catalogue,
        )
        self._administration = build_administration(
            self._core,
            self._follower,
            self._ownership_role.placements,
            QuarantineManager(
                self._quarantine,
                self._quarantine_replicator,
                self._core.events,
            ),
        )

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        Returns:
            Whether every request in flight finished.

        Raises:
            OSError: If a listener cannot be opened.
        """
        try:
            return await self._run()
        finally:
            self._core.log.close()

    async def _run(self) -> bool:
        core = self._core
        listeners = await open_listeners(core.settings.listen)
        async with trio.open_nursery() as nursery:
            await nursery.start(
                core.hub.run,
                listeners.peers,
                self._guarded_forwarder,
            )
            await nursery.start(self._dispatch_pool.run)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._ownership_role.run)
            nursery.start_soon(self._quarantine_replicator.run)
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
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            signal_number = await anext(signals)
            cause = signal.Signals(signal_number).name
            self._core.events.emit(ProcessStopping(cause))
        return await self._stop()

    async def _stop(self) -> bool:
        """Resign the ownership roles, then drain requests in flight."""
        seconds = self._core.settings.limits.drain_seconds
        await self._ownership_role.leave()
        is_entry_done = await self._entry.drain(seconds)
        is_pool_done = await self._dispatch_pool.drain(seconds)
        is_graceful = is_entry_done and is_pool_done
        self._core.events.emit(ProcessStopped(is_graceful=is_graceful))
        return is_graceful

    def _catalogue(self) -> Catalogue:
        return self._follower.current()

    def _quarantine(self) -> Quarantine:
        return self._dispatch_pool.quarantine

    def _is_coordinating(self) -> bool:
        return bool(self._ownership_role.snapshot().coordinating)
