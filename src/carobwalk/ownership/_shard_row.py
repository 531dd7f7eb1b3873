"""Rows of the shard map."""

from dataclasses import dataclass

from carobwalk.model import (
    Endpoint,
    FenceToken,
    ProcessId,
    ServerId,
    ServiceName,
    ShardNumber,
)
from carobwalk.ownership._server_messages import ShardId


@dataclass(frozen=True, slots=True)
class ShardRow:
    """Ownership of a shard, as published to entries.

    Args:
        service: Service that the shard belongs to.
        shard: Number of the shard.
        owner: Server that confirmed its grant; ``None`` if there is none.
        token: Fencing token of that grant.
        successor: Server that may become owner without a write to the store.
    """

    service: ServiceName
    shard: ShardNumber
    owner: ServerId | None = None
    token: FenceToken | None = None
    successor: ServerId | None = None

    @property
    def shard_id(self) -> ShardId:
        """Return the key of the shard in mappings."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True)
class ServerRow:
    """A backend server, as published to entries.

    Args:
        endpoint: Name, address and location of the server.
        service: Service that the server runs.
        dispatcher: Process that dispatches to it, if there is one.
        leaving: Whether the server is shutting down and takes no new work.
    """

    endpoint: Endpoint
    service: ServiceName
    dispatcher: ProcessId | None = None
    leaving: bool = False

    @property
    def server(self) -> ServerId:
        """Return the server's id."""
        return ServerId(self.endpoint.name)
