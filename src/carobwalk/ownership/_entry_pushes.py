"""Pushes of a coordinator to the entries."""

import itertools
from typing import Final

import trio
from result import Err

from carobwalk.model import Endpoint, ProcessId
from carobwalk.ownership._codec import decode_answer, encode_push
from carobwalk.ownership._context import region_of
from carobwalk.ownership._dispatch_plan import DispatchPlan
from carobwalk.ownership._entry_link import EntryLink
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._map_push import MapAnswer, MapPush
from carobwalk.ownership._shard_map_log import ShardMapLog
from carobwalk.peer import Topic

MAP_TOPIC: Final = Topic('ownership.map')
FAR_INTERVAL_FACTOR: Final = 5


class EntryPushes:
    """Runs one task per entry, which pushes leases and changes of the map.

    Args:
        state: State of the group.
        plan: Assignment of dispatchers.
        log: The shard map.
    """

    def __init__(
        self,
        state: GroupState,
        plan: DispatchPlan,
        log: ShardMapLog,
    ) -> None:
        self.resigning = False
        self._state = state
        self._plan = plan
        self._log = log
        self._context = state.context
        # An entry that went off the host list and came back gets a new link;
        # its sequence must not begin anew, or late pushes would look fresh.
        self._sequences = itertools.count(1)

    async def run(self) -> None:
        """Follow the host list and start a task for each new entry."""
        async with trio.open_nursery() as nursery:
            while True:
                for endpoint in self._state.hosts.entries():
                    self._note(endpoint, nursery)
                await trio.sleep(self._context.times.heartbeat)

    def rouse(self) -> None:
        """Push to all entries at once."""
        for link in self._plan.entries.values():
            link.wake.set()

    def _note(self, endpoint: Endpoint, nursery: trio.Nursery) -> None:
        process = ProcessId(endpoint.name)
        if process not in self._plan.entries:
            link = EntryLink(endpoint=endpoint)
            self._plan.entries[process] = link
            nursery.start_soon(self._serve, link)

    async def _serve(self, link: EntryLink) -> None:
        pause = self._pause(link)
        while not self._is_over(link):
            link.wake = trio.Event()
            await self._exchange(link)
            with trio.move_on_after(pause):
                await link.wake.wait()
        self._plan.entries.pop(link.process)

    def _is_over(self, link: EntryLink) -> bool:
        if not self._state.hosts.is_gone(link.process):
            return False
        return link.process not in self._plan.by_server.values()

    def _pause(self, link: EntryLink) -> float:
        pause = self._context.times.heartbeat
        if link.endpoint.region == region_of(self._state.group):
            return pause
        return pause * FAR_INTERVAL_FACTOR

    async def _exchange(self, link: EntryLink) -> None:
        push = self._push(link)
        answer = await self._context.peers.ask(
            link.endpoint,
            MAP_TOPIC,
            encode_push(push),
            self._context.times.push_timeout,
        )
        if isinstance(answer, Err):
            return
        self._note_answer(link, push, decode_answer(answer.ok_value))

    def _push(self, link: EntryLink) -> MapPush:
        times = self._context.times
        leases = self._plan.leases_of(link.process)
        if leases:
            until = link.answered_at + times.lapse(times.lease_ttl)
            link.lapse_at = max(link.lapse_at, until)
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
            dispatchers=self._plan.endpoints(),
            servers=delta.servers,
            removed=delta.removed,
            shards=delta.shards,
            divisions=divisions if delta.shards else (),
            leases=leases,
            echo=link.echo,
            ttl=times.lease_ttl,
            record=self._state.contact.revision,
            resigning=self.resigning,
        )

    def _note_answer(
        self,
        link: EntryLink,
        push: MapPush,
        answer: MapAnswer,
    ) -> None:
        if answer.epoch > self._state.epoch:
            self._state.signals.deposed.set()
            return
        earlier = (link.leases, link.leaving)
        link.revision = answer.revision
        link.echo = answer.clock
        link.answered_at = self._state.now()
        link.applied = push.sequence
        link.leases = frozenset(answer.leases)
        link.leaving = answer.leaving
        if earlier != (link.leases, link.leaving):
            self._state.rouse()
