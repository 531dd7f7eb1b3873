"""Grants of one group, as their holder keeps them."""

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
    """A grant of a shard to this holder.

    Args:
        token: Fencing token of the grant.
        until: Expiry time in seconds on the holder's clock.
        draining: Whether new requests are refused.
    """

    token: FenceToken
    until: float
    draining: bool = False

    def admits(self, token: FenceToken, now: float) -> bool:
        """Return whether a request sent with the token may start.

        The token must equal the current one, so that a dispatcher that missed
        a takeover cannot send concurrently with the one that the new
        coordinator assigned.
        """
        live = now < self.until and not self.draining
        return live and token == self.token


@dataclass(slots=True)
class GroupGrants:
    """Accepted epoch and grants of one group.

    Args:
        epoch: Highest epoch accepted.
        sequence: Sequence of the last order applied in that epoch.
        autonomous: Whether the last applied order allowed the coordinator to
            act without the store.
        by_shard: Grants by service and shard.
    """

    epoch: int = 0
    sequence: int = 0
    autonomous: bool = False
    by_shard: dict[ShardId, Grant] = field(default_factory=dict)

    def accept(self, epoch: int) -> None:
        """Accept an epoch if it is higher than the accepted one."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.sequence = 0

    def is_stale(self, epoch: int, sequence: int) -> bool:
        """Return whether this or a later order of the epoch was applied."""
        return epoch == self.epoch and sequence <= self.sequence

    def apply(self, order: GrantOrder, now: float) -> None:
        """Replace the grants by those of a verified order.

        Unexpired grants of earlier epochs are kept.
        """
        self.accept(order.epoch)
        self.sequence = order.sequence
        self.autonomous = order.autonomous
        grants = {
            shard_id: grant
            for shard_id, grant in self.by_shard.items()
            if grant.token.epoch < order.epoch and grant.until > now
        }
        for shard in order.shards:
            grants[shard.shard_id] = _grant_from(order, shard)
        for releasing in order.releasing:
            renewed = _grant_from(order, releasing)
            grants[releasing.shard_id] = replace(renewed, draining=True)
        self.by_shard = grants

    def drain(self, order: ReleaseOrder) -> None:
        """Stop admitting requests for the shards of a verified order."""
        self.accept(order.epoch)
        self.sequence = order.sequence
        for shard in order.shards:
            grant = self.by_shard.get(shard.shard_id)
            if grant is not None:
                drained = replace(grant, draining=True)
                self.by_shard[shard.shard_id] = drained

    def drop_drained(self, busy: Iterable[ShardId]) -> None:
        """Drop the grants of draining shards without requests in flight.

        Args:
            busy: Shards with requests in flight.
        """
        in_flight = frozenset(busy)
        self.by_shard = {
            shard_id: grant
            for shard_id, grant in self.by_shard.items()
            if not grant.draining or shard_id in in_flight
        }

    def held(self, now: float) -> tuple[HeldShard, ...]:
        """Return the unexpired grants."""
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


def _grant_from(order: GrantOrder, shard: ShardGrant) -> Grant:
    token = FenceToken(order.epoch, shard.sequence)
    return Grant(token=token, until=order.echo + order.ttl)
