"""Current rows of the shard map."""

from carobwalk.model import ServerId
from carobwalk.ownership._context import group_of
from carobwalk.ownership._dispatcher_assignments import DispatcherAssignments
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow
from carobwalk.ownership._shard_state import ShardState


class MapRows:
    """Builds the shard map rows that a coordinator publishes.

    Args:
        state: Coordinator's state of the group.
        dispatchers: Assignments of dispatchers to servers.
    """

    def __init__(
        self, state: GroupState, dispatchers: DispatcherAssignments
    ) -> None:
        self._state = state
        self._dispatchers = dispatchers

    def shards(self) -> dict[ShardId, ShardRow]:
        """Return the rows of all shards of the group."""
        return {
            shard_id: self._shard_row(shard)
            for shard_id, shard in self._state.shards.items()
        }

    def _shard_row(self, shard: ShardState) -> ShardRow:
        token = self._state.confirmed_token(shard)
        owner = shard.owner
        record = shard.record
        successor = None if record is None else record.successor
        service, number = shard.shard_id
        return ShardRow(
            service=service,
            shard=number,
            owner=None if token is None or owner is None else owner.server,
            token=token,
            successor=None if successor is None else successor.server,
        )

    def servers(self) -> dict[ServerId, ServerRow]:
        """Return the rows of the servers of the group's data centre."""
        rows = {}
        for host in self._state.hosts.servers():
            if (
                host.service is None
                or group_of(host.endpoint) != self._state.group
            ):
                continue
            server = ServerId(host.endpoint.name)
            link = self._state.links.get(server)
            rows[server] = ServerRow(
                endpoint=host.endpoint,
                service=host.service,
                dispatcher=self._dispatchers.by_server.get(server),
                leaving=host.leaving if link is None else link.leaving,
            )
        return rows
