"""Composition root of a process on the users' platform."""

import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

import trio

from carobwalk.app._build_gateway import build_gateway, repeat_rules
from carobwalk.app._build_keyspace import build_keyspace
from carobwalk.app._gateway_core import build_gateway_core
from carobwalk.app._gateway_events import ProcessStarted
from carobwalk.app._gateway_records import follow_records
from carobwalk.app._gateway_watches import watch_gateway
from carobwalk.app._listeners import open_listener
from carobwalk.app._no_forwarder import NoForwarder
from carobwalk.app._readiness import Readiness
from carobwalk.app._settings_reload import SettingsReload
from carobwalk.app._small_servers import serve_small_requests
from carobwalk.app._stop import ProcessStopped, ProcessStopping
from carobwalk.gateway import CrashSuspects, LoadTable, RepeatBudgets
from carobwalk.keyspace import KeyReader, LocalLoad
from carobwalk.settings import GatewaySettings

_STOP_SIGNALS: Final = frozenset((signal.SIGTERM, signal.SIGINT))
_RELOAD_SIGNAL: Final = signal.SIGHUP
_UPKEEP_SECONDS: Final = 0.25
# The balancer sends new callers here until it has missed two answers.
_BALANCER_SECONDS: Final = 2.6
# Time at the end of a stop that is kept free of waits.
_STOP_MARGIN_SECONDS: Final = 0.6


class GatewayProcess:
    """One process on the users' platform.

    Args:
        settings: Validated settings.
        path: File that the settings were read from.
    """

    def __init__(self, settings: GatewaySettings, path: Path) -> None:
        self._core = build_gateway_core(settings)
        core = self._core
        self._local = LocalLoad(
            loads=LoadTable(core.directory),
            budgets=RepeatBudgets(repeat_rules(settings.bounds)),
            suspects=CrashSuspects(),
            events=core.events,
        )
        self._reload = SettingsReload(path, self._local.budgets, core.events)
        reader = KeyReader(core.events)
        self._readiness = Readiness(core, reader)
        self._records = follow_records(
            core,
            reader,
            lambda: self._keyspace.feed.is_coordinator,
        )
        self._keyspace = build_keyspace(
            core,
            reader,
            self._local,
            lambda: self._records.coordinator.is_current,
        )
        self._gateway = build_gateway(
            core,
            self._keyspace.owners,
            self._local,
            lambda: self._readiness.is_stopping,
        )
        watch_gateway(core, self._gateway.pool)

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        Returns:
            Whether every request in flight finished.

        Raises:
            OSError: If an address can not be listened on.
        """
        core = self._core
        with trio.open_signal_receiver(
            *_STOP_SIGNALS,
            _RELOAD_SIGNAL,
        ) as received:
            try:
                return await self._run(received)
            finally:
                core.log.close()
                core.output.flush()

    async def _run(self, received: AsyncIterator[int]) -> bool:
        core = self._core
        listen = core.settings.listen
        async with trio.open_nursery() as nursery:
            nursery.start_soon(core.output.run)
            core.events.emit(ProcessStarted(str(listen.callers)))
            await nursery.start(
                core.hub.run,
                await open_listener(listen.peers),
                NoForwarder(),
            )
            await serve_small_requests(core, self._readiness.check, nursery)
            self._records.start(nursery)
            nursery.start_soon(self._keyspace.role.run)
            nursery.start_soon(self._keyspace.reporter.run)
            nursery.start_soon(self._keyspace.follower.run)
            nursery.start_soon(self._keep_up)
            nursery.start_soon(
                self._gateway.server.run,
                await open_listener(listen.callers),
            )
            is_graceful = await self._wait_and_stop(received)
            nursery.cancel_scope.cancel()
        return is_graceful

    async def _wait_and_stop(self, received: AsyncIterator[int]) -> bool:
        while True:
            number = signal.Signals(await anext(received))
            if number in _STOP_SIGNALS:
                self._core.events.emit(ProcessStopping(number.name))
                return await self._stop()
            self._reload.run()

    async def _stop(self) -> bool:
        """Leave the balancer, hand the role over, finish what is in flight."""
        self._readiness.stop()
        seconds = self._core.settings.bounds.stop_seconds
        end = trio.current_time() + seconds - _STOP_MARGIN_SECONDS
        balancer_end = trio.current_time() + _BALANCER_SECONDS
        with trio.move_on_at(balancer_end):
            await self._keyspace.role.resign()
        await trio.sleep_until(balancer_end)
        left = max(end - trio.current_time(), 0)
        is_graceful = await self._gateway.server.close(left)
        self._core.events.emit(ProcessStopped(is_graceful=is_graceful))
        return is_graceful

    async def _keep_up(self) -> None:
        """Drop what has grown old, and notice changed settings."""
        while True:
            await trio.sleep(_UPKEEP_SECONDS)
            self._reload.run_if_changed()
            self._core.directory.expire()
            self._local.loads.forget_gone()
            await self._gateway.pool.close_old()
