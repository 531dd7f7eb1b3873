"""Measurement of the time for which shards are unavailable."""

from dataclasses import dataclass, field
from typing import Final

import trio

from carobwalk.model import ServerId
from carobwalk.ownership import OwnershipSnapshot, ShardId, ShardRow
from standins.fake_fleet import FakeFleet

STEP_SECONDS: Final = 0.01


@dataclass(slots=True)
class Gap:
    """Unavailability of one shard.

    Args:
        longest: Longest outage so far, in seconds.
        since: Start of the current outage; ``None`` while served.
    """

    longest: float = 0
    since: float | None = None

    def record(self, served: bool, now: float) -> None:
        """Record whether the shard is served at a time."""
        if served:
            self.since = None
            return
        if self.since is None:
            self.since = now
        self.longest = max(self.longest, now - self.since)


@dataclass(slots=True)
class ServiceMeter:
    """Samples from the live entries whether each shard is served.

    A shard is served if a running entry knows its owner and the owner's
    dispatcher, the dispatcher has a live lease, and the owner would admit a
    request with the token of the entry's map.

    Args:
        fleet: Fleet that is sampled.
        gaps: Unavailability by shard.
    """

    fleet: FakeFleet
    gaps: dict[ShardId, Gap] = field(default_factory=dict)

    async def measure(self, seconds: float) -> float:
        """Sample for some seconds and return the longest gap observed."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            self.sample()
            await trio.sleep(STEP_SECONDS)
        return self.longest()

    def longest(self) -> float:
        """Return the longest gap of any shard in seconds."""
        return max((gap.longest for gap in self.gaps.values()), default=0)

    def sample(self) -> None:
        """Sample all shards."""
        now = trio.current_time()
        snapshots = self._snapshots()
        leased = {
            server for snapshot in snapshots for server in snapshot.dispatching
        }
        for shard_id in self.fleet.record.tokens:
            served = any(
                self._is_served(snapshot, shard_id, leased)
                for snapshot in snapshots
            )
            self.gaps.setdefault(shard_id, Gap()).record(served, now)

    def _snapshots(self) -> list[OwnershipSnapshot]:
        network = self.fleet.network
        return [
            process.role.snapshot()
            for process in self.fleet.processes.values()
            if process.name not in network.down
            and not network.is_frozen(process.name)
        ]

    def _is_served(
        self,
        snapshot: OwnershipSnapshot,
        shard_id: ShardId,
        leased: set[ServerId],
    ) -> bool:
        rows = (
            group.shards.get(shard_id) for group in snapshot.groups.values()
        )
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
