"""Ownership of shards as a coordinator's events report it."""

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


class ShardOwnershipTracker:
    """Counts moves of shards and measures their time without an owner.

    Args:
        metrics: Receives the counts and times.
        clock: Measures time in seconds.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._owners_by_shard: dict[ShardName, ServerId] = {}
        self._loss_times_by_shard: dict[ShardName, float] = {}

    def set_owner(self, shard_name: ShardName, server: ServerId) -> None:
        """Record that a server owns a shard.

        The first known owner after a gap ends the time without an owner; an
        owner other than the last known one counts as a move.
        """
        lost_at = self._loss_times_by_shard.pop(shard_name, None)
        if lost_at is not None:
            seconds = self._clock.now() - lost_at
            self._metrics.record_unavailable_seconds(
                shard_name.service, seconds
            )
        if self._owners_by_shard.get(shard_name, server) != server:
            self._metrics.record_moved_shards(shard_name.service, 1)
        self._owners_by_shard[shard_name] = server

    def remove_owner(self, shard_name: ShardName) -> None:
        """Record that a shard has no owner from now on."""
        self._loss_times_by_shard.setdefault(shard_name, self._clock.now())

    def drop_group(self, group: str) -> None:
        """Drop the shards of a group that another process now coordinates."""
        _drop_group(self._owners_by_shard, group)
        _drop_group(self._loss_times_by_shard, group)


def _drop_group(values_by_shard: dict[ShardName, Any], group: str) -> None:
    names = [
        shard_name
        for shard_name in values_by_shard
        if shard_name.group == group
    ]
    for shard_name in names:
        values_by_shard.pop(shard_name)
