"""Division of a service's keys into shards and groups."""

from dataclasses import dataclass

from carobwalk.model import Key, ServiceName, ShardNumber
from carobwalk.ownership._shards import shard_of


@dataclass(frozen=True, slots=True)
class Division:
    """Shards of a service and their home groups; never changes once stored.

    Args:
        service: Name of the service.
        shard_count: Number of shards.
        groups: Home groups, assigned to the shards round-robin.
    """

    service: ServiceName
    shard_count: int
    groups: tuple[str, ...]

    def shard_of(self, key: Key) -> ShardNumber:
        """Return the shard of a key."""
        return shard_of(key, self.shard_count)

    def group_of(self, shard: ShardNumber) -> str:
        """Return the home group of a shard."""
        return self.groups[shard % len(self.groups)]

    def shards_in(self, group: str) -> tuple[ShardNumber, ...]:
        """Return the shards whose home group is the given one."""
        return tuple(
            ShardNumber(number)
            for number in range(self.shard_count)
            if self.groups[number % len(self.groups)] == group
        )
