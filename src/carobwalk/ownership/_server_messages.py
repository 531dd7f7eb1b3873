"""Messages between a coordinator and a backend server.

They are sent as JSON in the bodies of ``POST /_control/grant``,
``POST /_control/fence`` and ``POST /_control/release``; the answer to each
is a `GrantReport`.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.model import FenceToken, ServiceName, ShardNumber

ShardId = tuple[ServiceName, ShardNumber]


@unique
class Refusal(StrEnum):
    """Why a backend server did not apply an order."""

    INCARNATION = 'incarnation'
    EPOCH = 'epoch'
    SEQUENCE = 'sequence'
    CLOCK = 'clock'


@dataclass(frozen=True, slots=True)
class ShardGrant:
    """A shard that an order lists.

    Args:
        service: Service that the shard belongs to.
        shard: Number of the shard.
        sequence: Sequence of the grant's fencing token.
    """

    service: ServiceName
    shard: ShardNumber
    sequence: int

    @property
    def shard_id(self) -> ShardId:
        """Return the key of the shard in mappings."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantOrder:
    """Complete set of shards that a server owns in a group.

    Unlisted shards that were granted in the same epoch are dropped. Unlisted
    shards of an earlier epoch stay granted until they expire.

    Args:
        group: Group of the shards.
        epoch: Epoch of the coordinator.
        sequence: Increases with each order of the coordinator.
        incarnation: Incarnation of the server that the order is for.
        echo: Time on the server's clock in its last report, in seconds.
        ttl: Time to live in seconds, counted from ``echo``.
        shards: Shards that the server may serve.
        releasing: Shards that the server drains: it admits no new requests and
            drops the grant when the requests in flight have ended.
        autonomous: Whether the coordinator may activate successors without
            the store.
    """

    group: str
    epoch: int
    sequence: int
    incarnation: str
    echo: float
    ttl: float
    shards: tuple[ShardGrant, ...] = ()
    releasing: tuple[ShardGrant, ...] = ()
    autonomous: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceOrder:
    """Requests that a server refuse all earlier epochs of a group.

    Args:
        group: Group of the shards.
        epoch: Epoch of the coordinator.
    """

    group: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseOrder:
    """Requests that a server stop admitting requests for shards at once.

    Args:
        group: Group of the shards.
        epoch: Epoch of the coordinator.
        sequence: Increases with each order of the coordinator.
        incarnation: Incarnation of the server that the order is for.
        shards: Shards to drain and then drop.
    """

    group: str
    epoch: int
    sequence: int
    incarnation: str
    shards: tuple[ShardGrant, ...]


@dataclass(frozen=True, slots=True)
class HeldShard:
    """A live grant as its holder reports it.

    Args:
        service: Service that the shard belongs to.
        shard: Number of the shard.
        token: Fencing token of the grant.
        remaining: Seconds until expiry on the holder's clock.
        draining: Whether the holder admits no new requests for it.
    """

    service: ServiceName
    shard: ShardNumber
    token: FenceToken
    remaining: float
    draining: bool = False

    @property
    def shard_id(self) -> ShardId:
        """Return the key of the shard in mappings."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantReport:
    """Answer of a backend server to any order.

    Args:
        incarnation: Random name that the server chose when it started.
        epoch: Highest epoch accepted for the group by this incarnation.
        sequence: Sequence of the last order applied in that epoch.
        clock: Time on the server's clock, in seconds.
        held: Live grants of the group.
        leaving: Whether the server is shutting down.
        autonomous: Whether the last applied order allowed the coordinator to
            activate successors without the store.
        refusal: Why the order was not applied; ``None`` if it was.
    """

    incarnation: str
    epoch: int
    sequence: int
    clock: float
    held: tuple[HeldShard, ...] = ()
    leaving: bool = False
    autonomous: bool = False
    refusal: Refusal | None = None


ServerOrder = GrantOrder | FenceOrder | ReleaseOrder
