"""Candidacy of an entry in the elections of a group's coordinator."""

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
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._lease_watch import LeaseWatch
from carobwalk.ownership._liveness_queries import LivenessQueries
from carobwalk.ownership._rendezvous import rendezvous_score
from carobwalk.ownership._shard_maps import ShardMaps


class Candidate:
    """Starts an election when a group's coordinator has failed.

    An election is due when no push arrived within the election timeout,
    when the coordinator resigns, or when its lease in the store expired.

    Args:
        context: Dependencies and settings of this process.
        hosts: Last reading of the host list.
        maps: Shard maps and the time of the last push of each group.
        liveness: Asks other entries whether the coordinator pushes to them.
        group: Group whose coordinator is elected.
    """

    def __init__(
        self,
        context: OwnershipContext,
        hosts: HostView,
        maps: ShardMaps,
        liveness: LivenessQueries,
        group: str,
    ) -> None:
        self.coordinator: Coordinator | None = None
        self._context = context
        self._hosts = hosts
        self._maps = maps
        self._liveness_queries = liveness
        self._group = group
        self._election = Election(context, group)
        self._lease_watch = LeaseWatch(context, group)
        self._timer_reset_at = context.clock.now()
        self._is_isolated = False

    async def run(self) -> None:
        """Check at intervals whether an election is due, and run for it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_records)
            while True:
                await trio.sleep(self._context.times.election_check_interval)
                if await self._is_election_due():
                    await self._run_for_election()

    async def _run_for_election(self) -> None:
        self._lease_watch.reset()
        view = self._maps.by_group.get(self._group, GroupView())
        won = await self._election.campaign(view.epoch)
        if won is not None:
            state = GroupState(
                self._context,
                self._hosts,
                self._group,
                decode_group(won.content),
            )
            state.store_status.revision = won.revision
            self.coordinator = Coordinator(state)
            await self.coordinator.run()
            self.coordinator = None
        self._timer_reset_at = self._context.clock.now()

    async def _is_election_due(self) -> bool:
        if self._maps.leaving or not self._hosts.by_name:
            return False
        view = self._maps.by_group.get(self._group, GroupView())
        rivals = self._rivals(view)
        if view.resigning or self._lease_watch.is_absent():
            return self._is_isolated or not self._preferred(rivals)
        if self._silence(view) <= self._context.times.election_timeout:
            return False
        answers = await self._liveness_queries.ask(self._group, tuple(rivals))
        if answers.coordinator_alive:
            return False
        self._is_isolated = bool(rivals) and not answers.answered
        if self._is_isolated and not self._receives_other_pushes():
            # This process may be the one that is partitioned from the others.
            return False
        # Candidates that do not answer add no delay.
        live = [rival for rival in rivals if rival.name in answers.answered]
        times = self._context.times
        delay = times.election_timeout + times.election_stagger * len(
            self._preferred(live)
        )
        return self._silence(view) > delay

    def _receives_other_pushes(self) -> bool:
        """Return whether any coordinator but this process pushed recently."""
        now = self._context.clock.now()
        limit = self._context.times.election_timeout / 2
        return any(
            now - view.last_push_at <= limit
            for view in self._maps.by_group.values()
            if view.coordinator not in {None, self._context.own}
        )

    def _silence(self, view: GroupView) -> float:
        silent_since = max(view.last_push_at, self._timer_reset_at)
        return self._context.clock.now() - silent_since

    def _preferred(self, rivals: list[Endpoint]) -> list[Endpoint]:
        """Return the rivals with a higher preference than this process."""
        own = self._preference_key(self._context.own)
        return [rival for rival in rivals if self._preference_key(rival) < own]

    def _rivals(self, view: GroupView) -> list[Endpoint]:
        """Return the other eligible candidates, most preferred first."""
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
        found.sort(key=self._preference_key)
        return found

    def _preference_key(self, entry: Endpoint) -> tuple[bool, int]:
        """Return the sort key: entries of other data centres come first."""
        score = rendezvous_score(self._group, entry.name)
        return (group_of(entry) == self._group, score)

    async def _follow_records(self) -> None:
        times = self._context.times
        checked_at = self._context.clock.now()
        while True:
            await trio.sleep(times.heartbeat)
            view = self._maps.by_group.get(self._group, GroupView())
            has_preferred = (
                self._preferred(self._rivals(view)) and not self._is_isolated
            )
            if self.coordinator or has_preferred:
                continue
            if self._election.revision != view.record:
                await self._election.refresh()
            age = self._context.clock.now() - checked_at
            if age > times.store_lease_ttl / 2:
                checked_at = self._context.clock.now()
                await self._lease_watch.check()
