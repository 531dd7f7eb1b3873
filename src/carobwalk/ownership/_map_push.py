"""Messages between a coordinator and the entries."""

from dataclasses import dataclass

from carobwalk.model import Endpoint, ProcessId, ServerId
from carobwalk.ownership._division import Division
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True, kw_only=True)
class MapPush:
    """Heartbeat of a coordinator, with what changed in its shard map.

    Args:
        group: Group of shards.
        epoch: Epoch of the coordinator.
        revision: Revision of the map within the epoch.
        sequence: Rises with each push of the coordinator.
        base: Revision that the rows are changes to; 0 for a whole map.
        coordinator: The process that sends this.
        dispatchers: Processes that the servers' rows name.
        servers: Changed rows of servers.
        removed: Servers that are gone.
        shards: Changed rows of shards.
        divisions: Divisions of all services that the group knows.
        leases: Servers that the receiver dispatches to.
        echo: Reading of the receiver's clock in its last answer, in seconds.
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
    """Answer of an entry.

    Args:
        process: The entry.
        epoch: Highest epoch of the group that it heard.
        revision: Revision of the map that it holds in that epoch.
        clock: Reading of its clock in seconds.
        leases: Servers of the group that it dispatches to now.
        leaving: Whether it is about to stop.
    """

    process: ProcessId
    epoch: int
    revision: int
    clock: float
    leases: tuple[ServerId, ...] = ()
    leaving: bool = False
