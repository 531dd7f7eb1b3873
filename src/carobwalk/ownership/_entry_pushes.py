"""Pushes of the shard map and of leases to the entries."""

import itertools
from typing import Final

import trio
from result import Err

from carobwalk.model import Endpoint, ProcessId
from carobwalk.ownership._codec import decode_answer, encode_push
from carobwalk.ownership._context import region_of
from carobwalk.ownership._dispatcher_assignments import DispatcherAssignments
from carobwalk.ownership._entry_link import EntryLink
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._map_push import MapAnswer, MapPush
from carobwalk.ownership._shard_map_log import ShardMapLog
from carobwalk.peer import Topic

MAP_TOPIC: Final = Topic('ownership.map')
REMOTE_REGION_INTERVAL_FACTOR: Final = 5


class EntryPushes:
    """Runs one task per entry that pushes leases and shard map changes.

    Args:
        state: Coordinator's state of the group.
        dispatchers: Assignments of dispatchers to servers.
        log: Shard map with the revisions of its rows.
    """

    def __init__(
        self,
        state: GroupState,
        dispatchers: DispatcherAssignments,
        log: ShardMapLog,
    ) -> None:
        self.resigning = False
        self._state = state
        self._dispatchers = dispatchers
        self._log = log
        self._context = state.context
        # An entry that left the host list and returned gets a new link. Its
        # sequence must not restart, or it would accept delayed pushes.
        self._sequences = itertools.count(1)

    async def run(self) -> None:
        """Follow the host list and start a task for each new entry."""
        async with trio.open_nursery() as nursery:
            while True:
                for endpoint in self._state.hosts.entries():
                    self._track(endpoint, nursery)
                await trio.sleep(self._context.times.heartbeat)

    def trigger(self) -> None:
        """Push to all entries without waiting for the interval."""
        for link in self._dispatchers.entries.values():
            link.wake.set()

    def _track(self, endpoint: Endpoint, nursery: trio.Nursery) -> None:
        process = ProcessId(endpoint.name)
        if process not in self._dispatchers.entries:
            link = EntryLink(endpoint=endpoint)
            self._dispatchers.entries[process] = link
            nursery.start_soon(self._push_loop, link)

    async def _push_loop(self, link: EntryLink) -> None:
        interval = self._interval(link)
        while not self._is_removed(link):
            link.wake = trio.Event()
            await self._exchange(link)
            with trio.move_on_after(interval):
                await link.wake.wait()
        self._dispatchers.entries.pop(link.process)

    def _is_removed(self, link: EntryLink) -> bool:
        if not self._state.hosts.is_removed(link.process):
            return False
        return link.process not in self._dispatchers.by_server.values()

    def _interval(self, link: EntryLink) -> float:
        interval = self._context.times.heartbeat
        if link.endpoint.region == region_of(self._state.group):
            return interval
        return interval * REMOTE_REGION_INTERVAL_FACTOR

    async def _exchange(self, link: EntryLink) -> None:
        push = self._next_push(link)
        answer = await self._context.peers.ask(
            link.endpoint,
            MAP_TOPIC,
            encode_push(push),
            self._context.times.push_timeout,
        )
        if isinstance(answer, Err):
            return
        self._handle_answer(link, push, decode_answer(answer.ok_value))

    def _next_push(self, link: EntryLink) -> MapPush:
        times = self._context.times
        leases = self._dispatchers.leases_of(link.process)
        if leases:
            expires_at = link.answered_at + times.ttl_with_drift(
                times.lease_ttl
            )
            link.expires_at = max(link.expires_at, expires_at)
        link.sequence = next(self._sequences)
        delta = self._log.since(link.revision)
        divisions = tuple(self._state.divisions.values())
        return MapPush(
            group=self._state.group,
            epoch=self._state.epoch,
            revision=self._log.revision,
            sequence=link.sequence,
            base=link.revision,
            coordinator=self._context.own,
            dispatchers=self._dispatchers.endpoints(),
            servers=delta.servers,
            removed=delta.removed,
            shards=delta.shards,
            divisions=divisions if delta.shards else (),
            leases=leases,
            echo=link.echo,
            ttl=times.lease_ttl,
            record=self._state.store_status.revision,
            resigning=self.resigning,
        )

    def _handle_answer(
        self,
        link: EntryLink,
        push: MapPush,
        answer: MapAnswer,
    ) -> None:
        if answer.epoch > self._state.epoch:
            self._state.signals.deposed.set()
            return
        previous = (link.leases, link.leaving)
        link.revision = answer.revision
        link.echo = answer.clock
        link.answered_at = self._state.now()
        link.applied = push.sequence
        link.leases = frozenset(answer.leases)
        link.leaving = answer.leaving
        if previous != (link.leases, link.leaving):
            self._state.trigger_decision()
