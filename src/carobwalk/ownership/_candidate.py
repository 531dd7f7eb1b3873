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
        self._alone = False

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
        view = self._maps.by_group.get(self._group, GroupView())
        won = await self._election.stand(view.epoch)
        if won is not None:
            state = GroupState(
                self._context,
                self._hosts,
                self._group,
                decode_group(won.content),
            )
            state.contact.revision = won.revision
            self.coordinator = Coordinator(state)
            await self.coordinator.run()
            self.coordinator = None
        self._quiet_until = self._context.clock.now()

    async def _is_due(self) -> bool:
        if self._maps.leaving or not self._hosts.by_name:
            return False
        view = self._maps.by_group.get(self._group, GroupView())
        rivals = self._rivals(view)
        if view.resigning or self._lease_watch.is_absent():
            return self._alone or not self._better(rivals)
        if self._silence(view) <= self._context.times.silence:
            return False
        testimony = await self._heard.ask(self._group, tuple(rivals))
        if testimony.heard:
            return False
        self._alone = bool(rivals) and not testimony.answered
        if self._alone and not self._is_in_touch():
            # This process may be the one that is cut off.
            return False
        # Candidates that do not answer are passed over without a pause.
        live = [rival for rival in rivals if rival.name in testimony.answered]
        times = self._context.times
        pause = times.silence + times.stagger * len(self._better(live))
        return self._silence(view) > pause

    def _is_in_touch(self) -> bool:
        """Return whether another process's coordinator was heard lately."""
        now = self._context.clock.now()
        limit = self._context.times.silence / 2
        return any(
            now - view.heard_at <= limit
            for view in self._maps.by_group.values()
            if view.coordinator not in {None, self._context.own}
        )

    def _silence(self, view: GroupView) -> float:
        quiet_since = max(view.heard_at, self._quiet_until)
        return self._context.clock.now() - quiet_since

    def _better(self, rivals: list[Endpoint]) -> list[Endpoint]:
        """Return the rivals that come before this process."""
        own = self._order(self._context.own)
        return [rival for rival in rivals if self._order(rival) < own]

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
        times = self._context.times
        checked_at = self._context.clock.now()
        while True:
            await trio.sleep(times.heartbeat)
            view = self._maps.by_group.get(self._group, GroupView())
            better = self._better(self._rivals(view)) and not self._alone
            if self.coordinator or better:
                continue
            if self._election.revision != view.record:
                await self._election.refresh()
            age = self._context.clock.now() - checked_at
            if age > times.store_lease_ttl / 2:
                checked_at = self._context.clock.now()
                await self._lease_watch.check()
