"""Grants of one group as their holder keeps them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from carobwalk.model import FenceToken
from carobwalk.ownership._server_messages import (
    GrantOrder,
    HeldShard,
    ReleaseOrder,
    ShardGrant,
    ShardId,
)


@dataclass(frozen=True, slots=True)
class Grant:
    """A grant with its end on the holder's clock.

    Args:
        token: Fence token of the grant.
        until: End in seconds on the holder's clock.
        draining: Whether new work is refused.
    """

    token: FenceToken
    until: float
    draining: bool = False

    def admits(self, token: FenceToken, now: float) -> bool:
        """Return whether a request sent with the token may start.

        Only the current token will do: a dispatcher that missed a takeover
        must not send beside the one that the new coordinator named.
        """
        live = now < self.until and not self.draining
        return live and token == self.token


@dataclass(slots=True)
class GroupGrants:
    """Accepted epoch and running grants of one group.

    Args:
        epoch: Highest epoch accepted.
        sequence: Last order applied in that epoch.
        autonomous: What the last applied order said of autonomy.
        by_shard: Grants by service and shard.
    """

    epoch: int = 0
    sequence: int = 0
    autonomous: bool = False
    by_shard: dict[ShardId, Grant] = field(default_factory=dict)

    def accept(self, epoch: int) -> None:
        """Accept an epoch that is not lower than the one accepted."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.sequence = 0

    def is_overtaken(self, epoch: int, sequence: int) -> bool:
        """Return whether a later order of the epoch was applied already."""
        return epoch == self.epoch and sequence <= self.sequence

    def apply(self, order: GrantOrder, now: float) -> None:
        """Take over the set of shards of an order that was checked."""
        self.accept(order.epoch)
        self.sequence = order.sequence
        self.autonomous = order.autonomous
        kept = {
            shard_id: grant
            for shard_id, grant in self.by_shard.items()
            if grant.token.epoch < order.epoch and grant.until > now
        }
        for shard in order.shards:
            kept[shard.shard_id] = _renewed(order, shard)
        for leaving in order.releasing:
            renewed = _renewed(order, leaving)
            kept[leaving.shard_id] = replace(renewed, draining=True)
        self.by_shard = kept

    def drain(self, order: ReleaseOrder) -> None:
        """Stop new work for the shards of an order that was checked."""
        self.accept(order.epoch)
        self.sequence = order.sequence
        for shard in order.shards:
            grant = self.by_shard.get(shard.shard_id)
            if grant is not None:
                drained = replace(grant, draining=True)
                self.by_shard[shard.shard_id] = drained

    def drop_drained(self, busy: Iterable[ShardId]) -> None:
        """Drop the draining shards that have no request in flight."""
        in_flight = frozenset(busy)
        self.by_shard = {
            shard_id: grant
            for shard_id, grant in self.by_shard.items()
            if not grant.draining or shard_id in in_flight
        }

    def held(self, now: float) -> tuple[HeldShard, ...]:
        """Return the live grants."""
        return tuple(
            HeldShard(
                service=shard_id[0],
                shard=shard_id[1],
                token=grant.token,
                remaining=grant.until - now,
                draining=grant.draining,
            )
            for shard_id, grant in self.by_shard.items()
            if grant.until > now
        )


def _renewed(order: GrantOrder, shard: ShardGrant) -> Grant:
    token = FenceToken(order.epoch, shard.sequence)
    return Grant(token=token, until=order.echo + order.ttl)
