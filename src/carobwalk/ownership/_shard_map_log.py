"""Change log of the shard map that a coordinator publishes."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import ServerId
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True)
class MapDelta:
    """Rows that changed after a revision.

    Args:
        servers: Changed or added rows of servers.
        removed: Servers without a row.
        shards: Changed or added rows of shards.
    """

    servers: tuple[ServerRow, ...]
    removed: tuple[ServerId, ...]
    shards: tuple[ShardRow, ...]


class ShardMapLog:
    """Rows of the shard map with the revision of each row's last change."""

    def __init__(self) -> None:
        self.revision = 1
        self._shards: dict[ShardId, ShardRow] = {}
        self._servers: dict[ServerId, ServerRow] = {}
        self._shard_revisions: dict[ShardId, int] = {}
        self._server_revisions: dict[ServerId, int] = {}

    @property
    def shards(self) -> Mapping[ShardId, ShardRow]:
        """Return the current rows of shards."""
        return self._shards

    def update(
        self,
        shards: Mapping[ShardId, ShardRow],
        servers: Mapping[ServerId, ServerRow],
    ) -> bool:
        """Replace the rows; return whether any row changed."""
        revision = self.revision + 1
        changed_shards = {
            shard_id: revision
            for shard_id, row in shards.items()
            if self._shards.get(shard_id) != row
        }
        changed_servers = {
            server: revision
            for server in servers.keys() | self._servers.keys()
            if self._servers.get(server) != servers.get(server)
        }
        if not changed_shards and not changed_servers:
            return False
        self._shard_revisions |= changed_shards
        self._server_revisions |= changed_servers
        self._shards = dict(shards)
        self._servers = dict(servers)
        self.revision = revision
        return True

    def since(self, base: int) -> MapDelta:
        """Return the changes after a revision; 0 returns the whole map."""
        changed_servers = [
            server
            for server, revision in self._server_revisions.items()
            if revision > base
        ]
        return MapDelta(
            servers=tuple(
                self._servers[server]
                for server in changed_servers
                if server in self._servers
            ),
            removed=tuple(
                server
                for server in changed_servers
                if server not in self._servers
            ),
            shards=tuple(
                self._shards[shard_id]
                for shard_id, revision in self._shard_revisions.items()
                if revision > base
            ),
        )
