"""Coordinator's state of its group."""

from carobwalk.events import Event
from carobwalk.model import FenceToken, ServerId
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._division import Division
from carobwalk.ownership._exceptions import TokenFellError
from carobwalk.ownership._group_record import GroupRecord
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._owned_shards import OwnedShards
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._signals import Signals, StoreStatus
from carobwalk.ownership._succession import Holder


class GroupState:
    """Shards, servers and counters of a group within one epoch.

    Args:
        context: Dependencies and settings of this process.
        hosts: Last reading of the host list.
        group: Name of the group.
        record: Record with which this process was elected.
    """

    def __init__(
        self,
        context: OwnershipContext,
        hosts: HostView,
        group: str,
        record: GroupRecord,
    ) -> None:
        self.context = context
        self.hosts = hosts
        self.group = group
        self.epoch = record.epoch
        self.links: dict[ServerId, ServerLink] = {}
        self.shards: dict[ShardId, ShardState] = {
            shard_id: ShardState(shard_id=shard_id, record=succession)
            for shard_id, succession in record.successions.items()
        }
        self.divisions: dict[str, Division] = {}
        self.store_status = StoreStatus(recorded_at=context.clock.now())
        self.signals = Signals()
        self._sequence = 0
        self.owned = OwnedShards(context.rules)

    def now(self) -> float:
        """Return the time on this process's clock, in seconds."""
        return self.context.clock.now()

    def emit(self, event: Event) -> None:
        """Write an event to the event log."""
        self.context.events.emit(event)

    def is_holder_alive(self, holder: Holder) -> bool:
        """Return whether the holder reported within the liveness timeout."""
        link = self.links.get(holder.server)
        if link is None:
            return False
        if self.context.rules.incarnation and link.holder != holder:
            return False
        return self.is_alive(link)

    def is_alive(self, link: ServerLink) -> bool:
        """Return whether a server reported within the liveness timeout."""
        return (
            self.now() - link.reported_at <= self.context.times.liveness_timeout
        )

    def activate(self, shard: ShardState, holder: Holder) -> None:
        """Make a holder the owner with a new fencing token.

        Raises:
            TokenFellError: If the token is not above the shard's last one.
        """
        self._sequence += 1
        if self._sequence <= shard.sequence:
            raise TokenFellError(f'{shard.shard_id}: sequence {self._sequence}')
        shard.sequence = self._sequence
        shard.owner = holder
        shard.release = None
        self.owned.add(shard, holder)
        self.links[holder.server].trigger_order()

    def remove_owner(self, shard: ShardState) -> None:
        """Remove the owner, whose grant has ended."""
        holder = shard.owner
        if holder is None:
            return
        self.owned.discard(shard, holder)
        shard.owner = None
        shard.previous_owner = holder
        shard.release = None

    def confirmed_token(self, shard: ShardState) -> FenceToken | None:
        """Return the owner's token if the owner reported that it holds it."""
        if shard.owner is None or shard.release is not None:
            return None
        token = FenceToken(self.epoch, shard.sequence)
        link = self.links[shard.owner.server]
        held = link.tokens.get(shard.shard_id)
        return token if held == token else None

    def request_autonomy(self) -> None:
        """Ask all servers at once to allow failover without the store."""
        if self.store_status.autonomous:
            return
        self.store_status.autonomous = True
        for link in self.links.values():
            link.trigger_order()

    def trigger_decision(self) -> None:
        """Wake the decision loop."""
        self.signals.wake.set()
