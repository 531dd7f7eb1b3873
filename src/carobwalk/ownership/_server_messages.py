"""Messages between a coordinator and a backend server.

They travel as JSON in the bodies of ``POST /_control/grant``,
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
    """One shard of an order.

    Args:
        service: Service that the shard belongs to.
        shard: Number of the shard.
        sequence: Sequence of the grant's fence token.
    """

    service: ServiceName
    shard: ShardNumber
    sequence: int

    @property
    def shard_id(self) -> ShardId:
        """Return the service and the shard's number."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantOrder:
    """The whole set of shards that a server owns in a group.

    A shard that was granted in the same epoch and is not listed is dropped.
    A shard of an earlier epoch that is not listed runs to its own end.

    Args:
        group: Group of shards that the order is about.
        epoch: Epoch of the coordinator.
        sequence: Rises with each order of the coordinator.
        incarnation: Incarnation of the server that is meant.
        echo: Reading of the server's clock in its last report, in seconds.
        ttl: Time to live in seconds, counted from ``echo``.
        shards: Shards that the server may serve.
        releasing: Shards that it keeps, taking no new work for them, until
            the requests in flight are over.
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
    """Asks a server to refuse all earlier epochs of a group.

    Args:
        group: Group of shards that the order is about.
        epoch: Epoch of the coordinator.
    """

    group: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseOrder:
    """Asks a server to stop new work for shards at once.

    Args:
        group: Group of shards that the order is about.
        epoch: Epoch of the coordinator.
        sequence: Rises with each order of the coordinator.
        incarnation: Incarnation of the server that is meant.
        shards: Shards that it shall drain and drop.
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
        token: Fence token of the grant.
        remaining: Seconds left on the holder's clock.
        draining: Whether the holder takes no new work for it.
    """

    service: ServiceName
    shard: ShardNumber
    token: FenceToken
    remaining: float
    draining: bool = False

    @property
    def shard_id(self) -> ShardId:
        """Return the service and the shard's number."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantReport:
    """Answer of a backend server to any order.

    Args:
        incarnation: Random name that the server takes when it starts.
        epoch: Highest epoch accepted for the group by this incarnation.
        sequence: Sequence of the last order applied in that epoch.
        clock: Reading of the server's clock in seconds.
        held: Live grants of the group.
        leaving: Whether the server is about to stop.
        autonomous: What the last applied order said of autonomy.
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
