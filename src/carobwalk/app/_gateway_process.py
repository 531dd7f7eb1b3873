"""Composition root of a gateway process."""

import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

import trio

from carobwalk.app._build_gateway import build_gateway, retry_rules
from carobwalk.app._build_keyspace import build_keyspace, build_local_load
from carobwalk.app._gateway_core import build_gateway_core
from carobwalk.app._gateway_events import ProcessStarted
from carobwalk.app._gateway_instruments import register_gateway_instruments
from carobwalk.app._listeners import open_listener
from carobwalk.app._monitoring_servers import serve_monitoring
from carobwalk.app._readiness import Readiness
from carobwalk.app._record_followers import build_record_followers
from carobwalk.app._rejecting_forwarder import RejectingForwarder
from carobwalk.app._settings_reloader import SettingsReloader
from carobwalk.app._stop_events import ProcessStopped, ProcessStopping
from carobwalk.gateway import RetryBudgets
from carobwalk.keyspace import KeyReader
from carobwalk.settings import GatewaySettings

_STOP_SIGNALS: Final = frozenset((signal.SIGTERM, signal.SIGINT))
_RELOAD_SIGNAL: Final = signal.SIGHUP
_MAINTENANCE_INTERVAL_SECONDS: Final = 0.25
_GRANT_CONNECTIONS_INTERVAL_SECONDS: Final = 1.0
# A load balancer stops sending new callers after two failed readiness checks.
_BALANCER_DRAIN_SECONDS: Final = 2.6
# Part of the shutdown time that is reserved for steps after the last wait.
_STOP_MARGIN_SECONDS: Final = 0.6
# From the last answer to the end of the wait for requests in flight.
_ANSWER_MARGIN_SECONDS: Final = 0.2


class GatewayProcess:
    """One gateway process on the hosting platform.

    Args:
        settings: Validated settings.
        path: File that the settings were read from.
    """

    def __init__(self, settings: GatewaySettings, path: Path) -> None:
        self._core = build_gateway_core(settings)
        core = self._core
        self._local = build_local_load(core)
        budgets = RetryBudgets(retry_rules(settings.bounds), self._local.share)
        self._settings_reloader = SettingsReloader(
            path,
            budgets,
            core.events,
        )
        reader = KeyReader(core.events)
        self._readiness = Readiness(core, reader)
        self._record_followers = build_record_followers(
            core,
            reader,
            lambda: self._keyspace.feed.is_coordinator,
        )
        self._keyspace = build_keyspace(
            core,
            reader,
            self._local,
            lambda: self._record_followers.coordinator.is_current,
        )
        self._gateway = build_gateway(
            core,
            self._keyspace.owners,
            self._local,
            budgets,
            lambda: self._readiness.is_stopping,
        )
        register_gateway_instruments(
            core,
            self._gateway.pool,
            self._record_followers.relay,
            reader,
            self._local.loads.warmups,
        )

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        Returns:
            Whether every request in flight finished.

        Raises:
            OSError: If a listener cannot be opened.
        """
        core = self._core
        with trio.open_signal_receiver(
            *_STOP_SIGNALS,
            _RELOAD_SIGNAL,
        ) as signals:
            try:
                return await self._run(signals)
            finally:
                core.log.close()
                core.output.flush()

    async def _run(self, signals: AsyncIterator[int]) -> bool:
        core = self._core
        listen = core.settings.listen
        follower = self._record_followers.relay.follower
        async with trio.open_nursery() as nursery:
            nursery.start_soon(core.output.run)
            core.events.emit(ProcessStarted(str(listen.callers)))
            await nursery.start(
                core.hub.run,
                await open_listener(listen.peers),
                RejectingForwarder(),
            )
            await serve_monitoring(
                core,
                self._readiness.check,
                self._gateway.explained,
                lambda: follower.seconds_since_contact,
                nursery,
            )
            self._record_followers.relay.start(nursery)
            nursery.start_soon(self._keyspace.role.run)
            nursery.start_soon(self._keyspace.reporter.run)
            nursery.start_soon(self._keyspace.follower.run)
            nursery.start_soon(self._run_maintenance)
            nursery.start_soon(self._close_unusable_connections)
            nursery.start_soon(
                self._gateway.server.run,
                await open_listener(listen.callers),
            )
            is_graceful = await self._wait_and_stop(signals)
            nursery.cancel_scope.cancel()
        return is_graceful

    async def _wait_and_stop(self, signals: AsyncIterator[int]) -> bool:
        while True:
            received = signal.Signals(await anext(signals))
            if received in _STOP_SIGNALS:
                self._core.events.emit(ProcessStopping(received.name))
                return await self._stop()
            self._settings_reloader.reload()

    async def _stop(self) -> bool:
        """Fail readiness, resign all roles, drain requests in flight."""
        self._readiness.stop()
        seconds = self._core.settings.bounds.stop_seconds
        deadline = trio.current_time() + seconds - _STOP_MARGIN_SECONDS
        balancer_deadline = trio.current_time() + _BALANCER_DRAIN_SECONDS
        self._gateway.shutdown.begin(
            balancer_deadline, deadline - _ANSWER_MARGIN_SECONDS
        )
        with trio.move_on_at(balancer_deadline):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._record_followers.relay.role.resign)
                nursery.start_soon(self._keyspace.role.resign)
        await trio.sleep_until(balancer_deadline)
        remaining_seconds = max(deadline - trio.current_time(), 0)
        is_graceful = await self._gateway.server.close(remaining_seconds)
        self._core.events.emit(ProcessStopped(is_graceful=is_graceful))
        return is_graceful

    async def _run_maintenance(self) -> None:
        """Periodically expire stale state and reload changed settings."""
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            self._settings_reloader.reload_if_changed()
            self._core.directory.expire()
            self._local.loads.remove_unregistered()
            await self._gateway.pool.close_expired()

    async def _close_unusable_connections(self) -> None:
        """Periodically close connections for grants that receive data."""
        while True:
            await trio.sleep(_GRANT_CONNECTIONS_INTERVAL_SECONDS)
            await self._core.grant_client.close_unusable()
