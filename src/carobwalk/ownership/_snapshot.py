"""Snapshots of ownership for explanations and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import Endpoint, ServerId
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSnapshot:
    """State of one group, as last pushed to this process.

    Args:
        group: Name of the group.
        epoch: Highest epoch received.
        revision: Revision of the shard map within the epoch.
        coordinator: Process that coordinates the group.
        age: Seconds since the last push of the coordinator.
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
    """State of all groups and roles of this process.

    Args:
        groups: Groups by name.
        coordinating: Groups that this process coordinates.
        dispatching: Servers that this process dispatches to.
    """

    groups: Mapping[str, GroupSnapshot]
    coordinating: tuple[str, ...]
    dispatching: tuple[ServerId, ...]
