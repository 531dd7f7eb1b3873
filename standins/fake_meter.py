"""Meter of the time for which shards are not served."""

from dataclasses import dataclass, field
from typing import Final

import trio

from carobwalk.model import ServerId
from carobwalk.ownership import OwnershipSnapshot, ShardId, ShardRow
from standins.fake_fleet import FakeFleet

STEP_SECONDS: Final = 0.01


@dataclass(slots=True)
class Gap:
    """Unserved time of one shard.

    Args:
        longest: Longest stretch without service, in seconds.
        since: Start of the stretch that lasts now.
    """

    longest: float = 0
    since: float | None = None

    def note(self, served: bool, now: float) -> None:
        """Note whether the shard is served now."""
        if served:
            self.since = None
            return
        if self.since is None:
            self.since = now
        self.longest = max(self.longest, now - self.since)


@dataclass(slots=True)
class ServiceMeter:
    """Looks from live entries whether each shard is served.

    A shard is served if an entry that is up knows its owner and the owner's
    dispatcher, the dispatcher has a live lease, and the owner would admit a
    request with the token of the entry's map.

    Args:
        fleet: Fleet that is watched.
        gaps: Unserved time by shard.
    """

    fleet: FakeFleet
    gaps: dict[ShardId, Gap] = field(default_factory=dict)

    async def watch(self, seconds: float) -> float:
        """Watch for a while and return the longest gap that was seen."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            self.look()
            await trio.sleep(STEP_SECONDS)
        return self.longest()

    def longest(self) -> float:
        """Return the longest gap of any shard in seconds."""
        return max((gap.longest for gap in self.gaps.values()), default=0)

    def look(self) -> None:
        """Look at all shards now."""
        now = trio.current_time()
        views = self._views()
        leased = {server for view in views for server in view.dispatching}
        for shard_id in self.fleet.record.tokens:
            served = any(
                self._is_served(view, shard_id, leased) for view in views
            )
            self.gaps.setdefault(shard_id, Gap()).note(served, now)

    def _views(self) -> list[OwnershipSnapshot]:
        network = self.fleet.network
        return [
            process.role.snapshot()
            for process in self.fleet.processes.values()
            if process.name not in network.down
            and not network.is_frozen(process.name)
        ]

    def _is_served(
        self,
        view: OwnershipSnapshot,
        shard_id: ShardId,
        leased: set[ServerId],
    ) -> bool:
        rows = (group.shards.get(shard_id) for group in view.groups.values())
        row = next((found for found in rows if found is not None), None)
        if row is None or row.owner is None or row.owner not in leased:
            return False
        network = self.fleet.network
        if network.is_cut_off(row.owner, self.fleet.processes):
            return False
        return not network.is_frozen(row.owner) and self._admits(row)

    def _admits(self, row: ShardRow) -> bool:
        if row.owner is None or row.token is None:
            return False
        server = self.fleet.servers[row.owner]
        now = server.clock.now()
        admitted = server.table.admits(row.service, row.shard, row.token, now)
        return server.is_up and admitted
