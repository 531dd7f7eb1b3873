"""What a process knows of ownership, for explanations and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import Endpoint, ServerId
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSnapshot:
    """One group as this process knows it.

    Args:
        group: Name of the group.
        epoch: Highest epoch heard.
        revision: Revision of the shard map within the epoch.
        coordinator: Process that coordinates the group.
        age: Seconds since the coordinator was heard.
        shards: Owners, tokens and successors.
        servers: Servers and their dispatchers.
    """

    group: str
    epoch: int
    revision: int
    coordinator: Endpoint | None
    age: float
    shards: Mapping[ShardId, ShardRow]
    servers: Mapping[ServerId, ServerRow]


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipSnapshot:
    """All groups as this process knows them.

    Args:
        groups: Groups by name.
        coordinating: Groups that this process coordinates.
        dispatching: Servers that this process dispatches to.
    """

    groups: Mapping[str, GroupSnapshot]
    coordinating: tuple[str, ...]
    dispatching: tuple[ServerId, ...]
