"""What a coordinator's events say about the owners of shards."""

from dataclasses import dataclass
from typing import Any

from carobwalk.metrics._metrics import Metrics
from carobwalk.model import Clock, ServerId, ServiceName, ShardNumber


@dataclass(frozen=True, slots=True)
class ShardName:
    """A shard within a group of backend servers."""

    group: str
    service: ServiceName
    shard: ShardNumber


class ShardHistory:
    """Counts moves of shards, and the time for which they had no owner.

    Args:
        metrics: Takes the counts.
        clock: Clock of the times.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._owners_by_name: dict[ShardName, ServerId] = {}
        self._losses_by_name: dict[ShardName, float] = {}

    def gain(self, name: ShardName, server: ServerId) -> None:
        """Take note that a server owns a shard."""
        loss = self._losses_by_name.pop(name, None)
        if loss is not None:
            seconds = self._clock.now() - loss
            self._metrics.record_unavailable(name.service, seconds)
        if self._owners_by_name.get(name, server) != server:
            self._metrics.record_moved_shards(name.service, 1)
        self._owners_by_name[name] = server

    def lose(self, name: ShardName) -> None:
        """Take note that a shard has no owner from now on."""
        self._losses_by_name.setdefault(name, self._clock.now())

    def forget(self, group: str) -> None:
        """Drop a group that another process coordinates from now on."""
        _drop_group(self._owners_by_name, group)
        _drop_group(self._losses_by_name, group)


def _drop_group(values_by_name: dict[ShardName, Any], group: str) -> None:
    dropped = [name for name in values_by_name if name.group == group]
    for name in dropped:
        values_by_name.pop(name)
