"""Index of shards by owner."""

from collections.abc import Iterable
from dataclasses import dataclass

from carobwalk.model import ServerId
from carobwalk.ownership._safety_rules import SafetyRules
from carobwalk.ownership._server_messages import ShardGrant, ShardId
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


@dataclass(frozen=True, slots=True)
class HolderAssignment:
    """Shards that the next order to a holder lists.

    Args:
        granted: Shards that the holder may serve.
        releasing: Shards that it drains and then releases.
    """

    granted: tuple[ShardGrant, ...]
    releasing: tuple[ShardGrant, ...]


class OwnedShards:
    """Index of shards by the holder that may have a live grant.

    Args:
        rules: Safety rules in force.
    """

    def __init__(self, rules: SafetyRules) -> None:
        self._rules = rules
        self._by_holder: dict[Holder, dict[ShardId, ShardState]] = {}

    def add(self, shard: ShardState, holder: Holder) -> None:
        """Add a shard whose owner was activated."""
        owned = self._by_holder.setdefault(holder, {})
        owned[shard.shard_id] = shard

    def discard(self, shard: ShardState, holder: Holder) -> None:
        """Remove a shard whose grant ended."""
        shards = self._by_holder[holder]
        shards.pop(shard.shard_id)
        if not shards:
            self._by_holder.pop(holder)

    def of_server(self, server: ServerId) -> list[ShardState]:
        """Return the shards of all incarnations of a server."""
        return [
            shard
            for holder, shards in self._by_holder.items()
            for shard in shards.values()
            if holder.server == server
        ]

    def assignment_of(self, holder: Holder) -> HolderAssignment:
        """Return the shards that the next order to a holder lists."""
        granted: list[ShardGrant] = []
        releasing: list[ShardGrant] = []
        for shard in self._of_holder(holder):
            service, number = shard.shard_id
            grant = ShardGrant(service, number, shard.sequence)
            target = granted if shard.release is None else releasing
            target.append(grant)
        return HolderAssignment(tuple(granted), tuple(releasing))

    def _of_holder(self, holder: Holder) -> Iterable[ShardState]:
        if self._rules.incarnation:
            return self._by_holder.get(holder, {}).values()
        return self.of_server(holder.server)
