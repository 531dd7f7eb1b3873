"""Shards by the holder that owns them."""

from collections.abc import Iterable
from dataclasses import dataclass

from carobwalk.model import ServerId
from carobwalk.ownership._safety_rules import SafetyRules
from carobwalk.ownership._server_messages import ShardGrant, ShardId
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


@dataclass(frozen=True, slots=True)
class OrderedShards:
    """Shards of one holder, as its next order lists them.

    Args:
        granted: Shards that it may serve.
        releasing: Shards that it drains.
    """

    granted: tuple[ShardGrant, ...]
    releasing: tuple[ShardGrant, ...]


class OwnedShards:
    """Index of shards by the holder that has or may have a grant.

    Args:
        rules: Safety rules in force.
    """

    def __init__(self, rules: SafetyRules) -> None:
        self._rules = rules
        self._by_holder: dict[Holder, dict[ShardId, ShardState]] = {}

    def add(self, shard: ShardState, holder: Holder) -> None:
        """Enter a shard that was activated."""
        owned = self._by_holder.setdefault(holder, {})
        owned[shard.shard_id] = shard

    def discard(self, shard: ShardState, holder: Holder) -> None:
        """Take out a shard whose grant is over."""
        shards = self._by_holder[holder]
        shards.pop(shard.shard_id)
        if not shards:
            self._by_holder.pop(holder)

    def at(self, server: ServerId) -> list[ShardState]:
        """Return the shards of all incarnations of a server."""
        return [
            shard
            for holder, shards in self._by_holder.items()
            for shard in shards.values()
            if holder.server == server
        ]

    def order_of(self, holder: Holder) -> OrderedShards:
        """Return the shards that the next order to a holder lists."""
        granted: list[ShardGrant] = []
        releasing: list[ShardGrant] = []
        for shard in self._of(holder):
            service, number = shard.shard_id
            grant = ShardGrant(service, number, shard.sequence)
            target = granted if shard.release is None else releasing
            target.append(grant)
        return OrderedShards(tuple(granted), tuple(releasing))

    def _of(self, holder: Holder) -> Iterable[ShardState]:
        if self._rules.incarnation:
            return self._by_holder.get(holder, {}).values()
        return self.at(holder.server)
