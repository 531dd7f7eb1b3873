"""Messages between a coordinator and the entries."""

from dataclasses import dataclass

from carobwalk.model import Endpoint, ProcessId, ServerId
from carobwalk.ownership._division import Division
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True, kw_only=True)
class MapPush:
    """Heartbeat of a coordinator with changes of the shard map and leases.

    Args:
        group: Group that the coordinator manages.
        epoch: Epoch of the coordinator.
        revision: Revision of the map within the epoch.
        sequence: Increases with each push of the coordinator.
        base: Revision that the rows are relative to; 0 for a whole map.
        coordinator: Process that sends the push.
        dispatchers: Endpoints of the dispatchers that server rows name.
        servers: Changed rows of servers.
        removed: Servers that are no longer in the map.
        shards: Changed rows of shards.
        divisions: Divisions of all services known to the coordinator.
        leases: Servers that are leased to the receiver.
        echo: Clock of the receiver in its last answer, in seconds.
        ttl: Time to live of the leases in seconds, counted from ``echo``.
        record: Revision of the group's record in the store.
        resigning: Whether the coordinator asks to be replaced.
    """

    group: str
    epoch: int
    revision: int
    sequence: int
    base: int
    coordinator: Endpoint
    dispatchers: tuple[Endpoint, ...] = ()
    servers: tuple[ServerRow, ...] = ()
    removed: tuple[ServerId, ...] = ()
    shards: tuple[ShardRow, ...] = ()
    divisions: tuple[Division, ...] = ()
    leases: tuple[ServerId, ...] = ()
    echo: float = 0
    ttl: float = 0
    record: int = 0
    resigning: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class MapAnswer:
    """Answer of an entry to a push.

    Args:
        process: Entry that answers.
        epoch: Highest epoch of the group that it received.
        revision: Revision of its shard map in that epoch.
        clock: Time on the entry's clock, in seconds.
        leases: Servers of the group on which it holds a live lease.
        leaving: Whether it is shutting down.
    """

    process: ProcessId
    epoch: int
    revision: int
    clock: float
    leases: tuple[ServerId, ...] = ()
    leaving: bool = False
