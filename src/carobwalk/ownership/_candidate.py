"""Readiness of an entry to coordinate a group."""

import trio

from carobwalk.model import Endpoint
from carobwalk.ownership._context import (
    OwnershipContext,
    group_of,
    region_of,
)
from carobwalk.ownership._coordinator import Coordinator
from carobwalk.ownership._election import Election
from carobwalk.ownership._group_record import decode_group
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._group_view import GroupView
from carobwalk.ownership._heard import HeardQuestions
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._lease_watch import LeaseWatch
from carobwalk.ownership._rendezvous import rendezvous_score
from carobwalk.ownership._shard_maps import ShardMaps


class Candidate:
    """Stands for election when a group's coordinator is silent.

    Args:
        context: Surroundings of the process.
        hosts: The host list.
        maps: Shard maps with the times of the last pushes.
        heard: Questions to other entries.
        group: Group to coordinate.
    """

    def __init__(
        self,
        context: OwnershipContext,
        hosts: HostView,
        maps: ShardMaps,
        heard: HeardQuestions,
        group: str,
    ) -> None:
        self.coordinator: Coordinator | None = None
        self._context = context
        self._hosts = hosts
        self._maps = maps
        self._heard = heard
        self._group = group
        self._election = Election(context, group)
        self._lease_watch = LeaseWatch(context, group)
        self._quiet_until = context.clock.now()

    async def run(self) -> None:
        """Stand for election whenever that is due."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_lease)
            while True:
                await trio.sleep(self._context.times.silence_check)
                if await self._is_due():
                    await self._stand()

    async def _stand(self) -> None:
        self._lease_watch.reset()
        won = await self._election.stand()
        if won is not None:
            state = GroupState(
                self._context,
                self._hosts,
                self._group,
                decode_group(won.content),
            )
            self.coordinator = Coordinator(state, won.revision)
            await self.coordinator.run()
            self.coordinator = None
        self._quiet_until = self._context.clock.now()

    async def _is_due(self) -> bool:
        if self._maps.leaving or not self._hosts.by_name:
            return False
        view = self._maps.by_group.get(self._group, GroupView())
        rivals = self._rivals(view)
        rank = sum(
            self._order(rival) < self._order(self._context.own)
            for rival in rivals
        )
        if view.resigning or self._lease_watch.is_absent():
            return rank == 0
        times = self._context.times
        quiet_since = max(view.heard_at, self._quiet_until)
        silence = self._context.clock.now() - quiet_since
        if silence <= times.silence + rank * times.stagger:
            return False
        return not await self._heard.is_heard(self._group, tuple(rivals))

    def _rivals(self, view: GroupView) -> list[Endpoint]:
        """Return the other entries that may stand, best one first."""
        excluded = {self._context.own.name}
        if view.coordinator is not None:
            excluded.add(view.coordinator.name)
        region = region_of(self._group)
        found = [
            entry
            for entry in self._hosts.entries()
            if entry.region == region
            and entry.name not in excluded
            and not self._hosts.by_name[entry.name].leaving
        ]
        found.sort(key=self._order)
        return found

    def _order(self, entry: Endpoint) -> tuple[bool, int]:
        """Return the place in line: entries of other data centres first."""
        score = rendezvous_score(self._group, entry.name)
        return (group_of(entry) == self._group, score)

    async def _watch_lease(self) -> None:
        pause = self._context.times.store_lease_ttl / 2
        while True:
            await trio.sleep(pause)
            view = self._maps.by_group.get(self._group, GroupView())
            rivals = self._rivals(view)
            own = self._order(self._context.own)
            first = all(own < self._order(rival) for rival in rivals)
            if first and self.coordinator is None:
                await self._lease_watch.check()
