"""An entry's copy of one group's shard map."""

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
    """Shard map of one group, as received from its coordinators.

    Args:
        epoch: Highest epoch received.
        revision: Revision of the map within the epoch; 0 for no map.
        sequence: Sequence of the last push accepted in the epoch.
        last_push_at: Time of the last accepted push, on this process's clock.
        coordinator: Process that sent that push.
        record: Revision of the group's record in the store.
        resigning: Whether the coordinator asks to be replaced.
        dispatchers: Endpoints of the dispatchers that servers name.
        servers: Servers of the group.
        shards: Shards of the group.
        changed_at: Time of the last change of the token by shard, on this
            process's clock.
    """

    epoch: int = 0
    revision: int = 0
    sequence: int = 0
    last_push_at: float = -inf
    coordinator: Endpoint | None = None
    record: int = 0
    resigning: bool = False
    dispatchers: dict[ProcessId, Endpoint] = field(default_factory=dict)
    servers: dict[ServerId, ServerRow] = field(default_factory=dict)
    shards: dict[ShardId, ShardRow] = field(default_factory=dict)
    changed_at: dict[ShardId, float] = field(default_factory=dict)

    def accept(self, push: MapPush, now: float) -> bool:
        """Apply a push, unless it is stale.

        Args:
            push: Push of a coordinator.
            now: Time on this process's clock, in seconds.

        Returns:
            Whether the push was accepted; ``False`` if a higher epoch or a
            later push was received before.
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
        self.last_push_at = now
        self.coordinator = push.coordinator
        self.record = push.record
        self.resigning = push.resigning
        self._apply(push)
        return True

    def _apply(self, push: MapPush) -> None:
        if push.base not in {0, self.revision}:
            return
        if push.revision < self.revision:
            detail = (
                f'{push.group}: revision {push.revision} after {self.revision}'
            )
            raise MapRevisionFellError(detail)
        if push.base == 0:
            self.servers = {}
            self._drop_unlisted_shards(push)
        self.servers |= {row.server: row for row in push.servers}
        for server in push.removed:
            self.servers.pop(server, None)
        for row in push.shards:
            self._put_shard(row)
        self.dispatchers |= {
            ProcessId(entry.name): entry for entry in push.dispatchers
        }
        self.revision = push.revision

    def _drop_unlisted_shards(self, push: MapPush) -> None:
        """Drop the rows that a whole map does not list.

        The others stay, so that their tokens can be compared.
        """
        listed = {row.shard_id for row in push.shards}
        self.shards = {
            shard_id: row
            for shard_id, row in self.shards.items()
            if shard_id in listed
        }

    def _put_shard(self, row: ShardRow) -> None:
        known = self.shards.get(row.shard_id)
        has_fallen = (
            known is not None
            and known.token is not None
            and row.token is not None
            and row.token < known.token
        )
        if has_fallen:
            raise TokenFellError(
                f'{row.shard_id}: {row.token} is below the known token'
            )
        if known is None or known.token != row.token:
            self.changed_at[row.shard_id] = self.last_push_at
        self.shards[row.shard_id] = row
