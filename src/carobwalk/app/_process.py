"""Composition root: wires the parts of a process and runs them."""

import random
import signal
import time
from typing import Final

import trio

from carobwalk.app._choose import Chooser
from carobwalk.app._clients import connect_platform
from carobwalk.app._listeners import open_listeners
from carobwalk.app._placed_forwarder import PlacedForwarder
from carobwalk.app._request_log import RequestLog
from carobwalk.app._stop import ProcessStopped, ProcessStopping
from carobwalk.dispatch import DispatchContext, DispatchPool
from carobwalk.entry import Classifier, EntryLimits, EntryServer, Router
from carobwalk.events import HybridClock, LineEventLog
from carobwalk.model import Endpoint, ProcessId, SuspendAwareClock
from carobwalk.ownership import (
    HttpGrantChannel,
    OwnershipContext,
    OwnershipRole,
    OwnershipTimes,
)
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.profiles import Catalogue
from carobwalk.profiles.spread import ConfigurationFollower, FollowerParts
from carobwalk.settings import Settings

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Process:
    """One process of the system.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        place = settings.process
        self._own = Endpoint(
            place.id,
            settings.listen.peers,
            place.region,
            place.data_centre,
        )
        self._clock = SuspendAwareClock()
        self._stamps = HybridClock()
        self._events = LineEventLog.open(
            place.id,
            self._stamps,
            settings.log.path,
            settings.log.level,
        )
        self._topics = TopicRegistry()
        self._hub = PeerHub(self._own, self._stamps, self._topics)
        self._clients = connect_platform(settings.platform)
        self._role = self._make_role()
        self._follower = self._make_follower()
        self._pool = self._make_pool()
        self._entry = self._make_entry()

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        Returns:
            Whether every request in flight finished.
        """
        listeners = await open_listeners(self._settings.listen)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._hub.run, listeners.peers, self._pool)
            await nursery.start(self._pool.run)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._role.run)
            nursery.start_soon(self._entry.run, listeners.callers)
            is_graceful = await self._wait_and_stop()
            nursery.cancel_scope.cancel()
        self._events.close()
        return is_graceful

    async def _wait_and_stop(self) -> bool:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as received:
            number = await anext(received)
            self._events.emit(ProcessStopping(signal.Signals(number).name))
        return await self._stop()

    async def _stop(self) -> bool:
        """Hand the roles over and let the requests in flight finish."""
        seconds = self._settings.limits.drain_seconds
        await self._role.leave()
        is_entry_done = await self._entry.drain(seconds)
        is_pool_done = await self._pool.drain(seconds)
        is_graceful = is_entry_done and is_pool_done
        self._events.emit(ProcessStopped(is_graceful=is_graceful))
        return is_graceful

    def _catalogue(self) -> Catalogue:
        return self._follower.current()

    def _is_coordinating(self) -> bool:
        return bool(self._role.snapshot().coordinating)

    def _make_role(self) -> OwnershipRole:
        return OwnershipRole(
            OwnershipContext(
                own=self._own,
                store=self._clients.store,
                host_list=self._clients.host_list,
                peers=self._hub,
                topics=self._topics,
                channel=HttpGrantChannel(self._clients.http),
                clock=self._clock,
                events=self._events,
                catalogue=self._catalogue,
                times=_times(self._settings),
            ),
        )

    def _make_follower(self) -> ConfigurationFollower:
        return ConfigurationFollower(
            FollowerParts(
                own=self._own,
                store=self._clients.store,
                peers=self._hub,
                topics=self._topics,
                known_peers=self._role.hosts.entries,
                is_watcher=self._is_coordinating,
                clock=self._clock,
                events=self._events,
                generator=random.Random(),
            ),
        )

    def _make_pool(self) -> DispatchPool:
        return DispatchPool(
            DispatchContext(
                leases=self._role.leases,
                catalogue=self._catalogue,
                clock=self._clock,
                events=self._events,
                wall_clock=time.time,
            ),
        )

    def _make_entry(self) -> EntryServer:
        own_id = ProcessId(self._own.name)
        limits = self._settings.limits
        return EntryServer(
            Classifier(own_id, self._catalogue),
            Router(
                self._role.placements,
                PlacedForwarder(own_id, self._pool, self._hub),
                Chooser(self._own),
            ),
            RequestLog(self._events),
            EntryLimits(
                header_bytes=limits.header_bytes,
                connections=limits.caller_connections,
                idle_seconds=limits.caller_idle_seconds,
                header_seconds=limits.caller_header_seconds,
                stall_seconds=limits.caller_stall_seconds,
            ),
        )


def _times(settings: Settings) -> OwnershipTimes:
    ownership = settings.ownership
    return OwnershipTimes(
        heartbeat=ownership.heartbeat_seconds,
        grant_ttl=ownership.grant_seconds,
        lease_ttl=ownership.lease_seconds,
        store_timeout=settings.platform.timeout_seconds,
        host_list_interval=settings.platform.host_list_interval_seconds,
    )
