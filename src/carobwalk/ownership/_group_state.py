"""What a coordinator knows of its group."""

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
from carobwalk.ownership._signals import Signals, StoreContact
from carobwalk.ownership._succession import Holder


class GroupState:
    """Shards, servers and counters of a group under one coordinator.

    Args:
        context: Surroundings of the process.
        hosts: The host list.
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
        self.contact = StoreContact(recorded_at=context.clock.now())
        self.signals = Signals()
        self._sequence = 0
        self.owned = OwnedShards(context.rules)

    def now(self) -> float:
        """Return the reading of this process's clock."""
        return self.context.clock.now()

    def emit(self, event: Event) -> None:
        """Write an event."""
        self.context.events.emit(event)

    def is_current(self, holder: Holder) -> bool:
        """Return whether the holder reported within the fresh time."""
        link = self.links.get(holder.server)
        if link is None:
            return False
        if self.context.rules.incarnation and link.holder != holder:
            return False
        return self.is_fresh(link)

    def is_fresh(self, link: ServerLink) -> bool:
        """Return whether a server reported within the fresh time."""
        return self.now() - link.reported_at <= self.context.times.fresh

    def activate(self, shard: ShardState, holder: Holder) -> None:
        """Make a holder the owner under a new token.

        Raises:
            TokenFellError: If the token is not above the shard's last one.
        """
        self._sequence += 1
        if self._sequence <= shard.sequence:
            raise TokenFellError(f'{shard.shard_id} at {self._sequence}')
        shard.sequence = self._sequence
        shard.owner = holder
        shard.release = None
        self.owned.add(shard, holder)
        self.links[holder.server].rouse()

    def vacate(self, shard: ShardState) -> None:
        """Note that the owner's grant is over."""
        holder = shard.owner
        if holder is None:
            return
        self.owned.discard(shard, holder)
        shard.owner = None
        shard.lost = holder
        shard.release = None

    def confirmed_token(self, shard: ShardState) -> FenceToken | None:
        """Return the owner's token once the owner reported that it holds it."""
        if shard.owner is None or shard.release is not None:
            return None
        token = FenceToken(self.epoch, shard.sequence)
        link = self.links[shard.owner.server]
        held = link.tokens.get(shard.shard_id)
        return token if held == token else None

    def become_autonomous(self) -> None:
        """Ask all servers at once for autonomy."""
        if self.contact.autonomous:
            return
        self.contact.autonomous = True
        for link in self.links.values():
            link.rouse()

    def rouse(self) -> None:
        """Decide at once."""
        self.signals.wake.set()
