"""A group's shard map as an entry holds it."""

from dataclasses import dataclass, field
from math import inf

from carobwalk.model import Endpoint, ProcessId, ServerId
from carobwalk.ownership._exceptions import (
    MapRevisionFellError,
    TokenFellError,
)
from carobwalk.ownership._map_push import MapPush
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_row import ServerRow, ShardRow


@dataclass(slots=True, kw_only=True)
class GroupView:
    """What an entry knows of one group.

    Args:
        epoch: Highest epoch heard.
        revision: Revision of the map within the epoch; 0 for none.
        sequence: Last push applied in the epoch.
        heard_at: Reading of this process's clock at the last push.
        coordinator: Process that sent it.
        record: Revision of the group's record in the store.
        resigning: Whether that process asks to be replaced.
        dispatchers: Processes that dispatch.
        servers: Servers of the group.
        shards: Shards of the group.
        changed_at: Reading of this process's clock at the last change of
            owner or token, by shard.
    """

    epoch: int = 0
    revision: int = 0
    sequence: int = 0
    heard_at: float = -inf
    coordinator: Endpoint | None = None
    record: int = 0
    resigning: bool = False
    dispatchers: dict[ProcessId, Endpoint] = field(default_factory=dict)
    servers: dict[ServerId, ServerRow] = field(default_factory=dict)
    shards: dict[ShardId, ShardRow] = field(default_factory=dict)
    changed_at: dict[ShardId, float] = field(default_factory=dict)

    def accept(self, push: MapPush, now: float) -> bool:
        """Take over a push unless a later one came before it.

        Returns:
            Whether the push was in order.
        """
        if push.epoch < self.epoch:
            return False
        if push.epoch > self.epoch:
            self.epoch = push.epoch
            self.revision = 0
            self.sequence = 0
        if push.sequence <= self.sequence:
            return False
        self.sequence = push.sequence
        self.heard_at = now
        self.coordinator = push.coordinator
        self.record = push.record
        self.resigning = push.resigning
        self._apply(push)
        return True

    def _apply(self, push: MapPush) -> None:
        if push.base not in {0, self.revision}:
            return
        if push.revision < self.revision:
            detail = f'{push.group}: {push.revision} after {self.revision}'
            raise MapRevisionFellError(detail)
        if push.base == 0:
            self.servers = {}
            self._forget_shards(push)
        self.servers |= {row.server: row for row in push.servers}
        for server in push.removed:
            self.servers.pop(server, None)
        for row in push.shards:
            self._put(row)
        self.dispatchers |= {
            ProcessId(entry.name): entry for entry in push.dispatchers
        }
        self.revision = push.revision

    def _forget_shards(self, push: MapPush) -> None:
        """Keep the tokens of rows that the whole map lists again."""
        listed = {row.shard_id for row in push.shards}
        self.shards = {
            shard_id: row
            for shard_id, row in self.shards.items()
            if shard_id in listed
        }

    def _put(self, row: ShardRow) -> None:
        known = self.shards.get(row.shard_id)
        fell = (
            known is not None
            and known.token is not None
            and row.token is not None
            and row.token < known.token
        )
        if fell:
            raise TokenFellError(f'{row.shard_id}: {row.token}')
        if known is None or known.token != row.token:
            self.changed_at[row.shard_id] = self.heard_at
        self.shards[row.shard_id] = row
