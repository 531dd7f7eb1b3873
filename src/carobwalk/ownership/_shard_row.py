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
    """Owner of a shard as entries see it.

    Args:
        service: Service that the shard belongs to.
        shard: Number of the shard.
        owner: Server that confirmed its grant; ``None`` if there is none.
        token: Fence token of that grant.
        successor: Server that may follow.
    """

    service: ServiceName
    shard: ShardNumber
    owner: ServerId | None = None
    token: FenceToken | None = None
    successor: ServerId | None = None

    @property
    def shard_id(self) -> ShardId:
        """Return the service and the shard's number."""
        return (self.service, self.shard)


@dataclass(frozen=True, slots=True)
class ServerRow:
    """A backend server as entries see it.

    Args:
        endpoint: Where it is.
        service: Service that it runs.
        dispatcher: Process that dispatches to it, if there is one.
        leaving: Whether it takes no new work.
    """

    endpoint: Endpoint
    service: ServiceName
    dispatcher: ProcessId | None = None
    leaving: bool = False

    @property
    def server(self) -> ServerId:
        """Return the server's identity."""
        return ServerId(self.endpoint.name)
