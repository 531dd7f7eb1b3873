"""Events of ownership."""

from dataclasses import dataclass

from carobwalk.events import Event
from carobwalk.model import ServerId, ServiceName, ShardNumber


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorElected(Event):
    """This process was elected coordinator of a group."""

    group: str
    epoch: int
    shards: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorDeposed(Event):
    """This process stopped coordinating a group."""

    group: str
    epoch: int
    cause: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardTakenOver(Event):
    """This coordinator took a shard over; ``server`` is its owner, if any."""

    group: str
    epoch: int
    service: ServiceName
    shard: ShardNumber
    server: ServerId | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardActivated(Event):
    """A server was made the owner of a shard."""

    group: str
    epoch: int
    sequence: int
    service: ServiceName
    shard: ShardNumber
    server: ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLapsed(Event):
    """The grant of an owner expired without a renewal."""

    group: str
    epoch: int
    service: ServiceName
    shard: ShardNumber
    server: ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardReleased(Event):
    """An owner drained a shard and released its grant."""

    group: str
    epoch: int
    service: ServiceName
    shard: ShardNumber
    server: ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordWritten(Event):
    """The store confirmed a group's successions."""

    group: str
    epoch: int
    changed: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordUnsettled(Event):
    """A write of a group's successions has an unknown outcome."""

    group: str
    epoch: int
    changed: int
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCallFailed(Event):
    """A call to the store failed without effect."""

    group: str
    detail: str
