"""The shard map as a coordinator publishes it, with its changes."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import ServerId
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(frozen=True, slots=True)
class MapDelta:
    """Rows that changed after a revision."""

    servers: tuple[ServerRow, ...]
    removed: tuple[ServerId, ...]
    shards: tuple[ShardRow, ...]


class ShardMapLog:
    """Rows with the revisions of their last changes, from 1."""

    def __init__(self) -> None:
        self.revision = 1
        self._shards: dict[ShardId, ShardRow] = {}
        self._servers: dict[ServerId, ServerRow] = {}
        self._shard_revisions: dict[ShardId, int] = {}
        self._server_revisions: dict[ServerId, int] = {}

    @property
    def shards(self) -> Mapping[ShardId, ShardRow]:
        """Return the rows of shards."""
        return self._shards

    def update(
        self,
        shards: Mapping[ShardId, ShardRow],
        servers: Mapping[ServerId, ServerRow],
    ) -> bool:
        """Take over the rows as they are now; return whether any changed."""
        revision = self.revision + 1
        changed = {
            shard_id: revision
            for shard_id, row in shards.items()
            if self._shards.get(shard_id) != row
        }
        touched = {
            server: revision
            for server in servers.keys() | self._servers.keys()
            if self._servers.get(server) != servers.get(server)
        }
        if not changed and not touched:
            return False
        self._shard_revisions |= changed
        self._server_revisions |= touched
        self._shards = dict(shards)
        self._servers = dict(servers)
        self.revision = revision
        return True

    def since(self, base: int) -> MapDelta:
        """Return the changes after a revision; 0 gives the whole map."""
        touched = [
            server
            for server, revision in self._server_revisions.items()
            if revision > base
        ]
        return MapDelta(
            servers=tuple(
                self._servers[server]
                for server in touched
                if server in self._servers
            ),
            removed=tuple(
                server for server in touched if server not in self._servers
            ),
            shards=tuple(
                self._shards[shard_id]
                for shard_id, revision in self._shard_revisions.items()
                if revision > base
            ),
        )
