"""Selection of the holder to activate for a shard."""

from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


class HolderSelector:
    """Selects among the holders that may safely be activated.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def next_holder(self, shard: ShardState) -> Holder | None:
        """Return the preferred live holder, ``None`` if there is none.

        Holders that are not leaving come first, then those that are not the
        current or previous owner.
        """
        usable = [
            holder
            for holder in self._allowed(shard)
            if self._state.is_holder_alive(holder)
        ]
        usable.sort(key=lambda holder: self._sort_key(shard, holder))
        return usable[0] if usable else None

    def _allowed(self, shard: ShardState) -> tuple[Holder, ...]:
        if shard.owner is None and not self._may_fail_over(shard):
            return ()
        if self._state.context.rules.settle_write:
            return shard.safe_holders()
        return () if shard.record is None else shard.record.holders()

    def _may_fail_over(self, shard: ShardState) -> bool:
        """Return whether a holder may be activated after the owner expired.

        Either the store confirmed the epoch after the expiry, or both holders
        agreed to autonomy before, so that no later coordinator can take the
        shard over without fencing both.
        """
        state = self._state
        if (
            state.store_status.verified_at >= shard.expired_at
            or shard.record is None
        ):
            return True
        if not state.context.rules.store_check:
            return True
        holders = shard.record.holders()
        return all(self._accepts_autonomy(holder) for holder in holders)

    def _accepts_autonomy(self, holder: Holder) -> bool:
        state = self._state
        link = state.links.get(holder.server)
        if link is None or not link.autonomous:
            recorded_at = state.store_status.recorded_at
            return state.hosts.is_removed(holder.server, recorded_at)
        is_enforced = self._state.context.rules.incarnation
        return link.holder == holder or not is_enforced

    def _sort_key(self, shard: ShardState, holder: Holder) -> tuple[bool, bool]:
        link = self._state.links[holder.server]
        return (link.leaving, holder in {shard.previous_owner, shard.owner})
