"""Choice of the holder to activate."""

from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


class HolderChoice:
    """Chooses among the holders that may be activated.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def next_holder(self, shard: ShardState) -> Holder | None:
        """Return a live holder: one that stays, and not the last owner."""
        usable = [
            holder
            for holder in self._allowed(shard)
            if self._state.is_current(holder)
        ]
        usable.sort(key=lambda holder: self._demerit(shard, holder))
        return usable[0] if usable else None

    def _allowed(self, shard: ShardState) -> tuple[Holder, ...]:
        if shard.owner is None and not self._is_entitled(shard):
            return ()
        if self._state.context.rules.settle_write:
            return shard.safe_holders()
        return () if shard.record is None else shard.record.holders()

    def _is_entitled(self, shard: ShardState) -> bool:
        """Return whether a successor may follow a silent owner.

        Either the store confirmed the epoch after the lapse, or both holders
        agreed to autonomy before, so that no later coordinator takes the
        shard over without fencing both.
        """
        state = self._state
        if state.contact.verified_at >= shard.lapsed_at or shard.record is None:
            return True
        if not state.context.rules.store_check:
            return True
        holders = shard.record.holders()
        return all(self._is_bound(holder) for holder in holders)

    def _is_bound(self, holder: Holder) -> bool:
        state = self._state
        link = state.links.get(holder.server)
        if link is None or not link.autonomous:
            recorded_at = state.contact.recorded_at
            return state.hosts.is_gone(holder.server, recorded_at)
        guarded = self._state.context.rules.incarnation
        return link.holder == holder or not guarded

    def _demerit(self, shard: ShardState, holder: Holder) -> tuple[bool, bool]:
        link = self._state.links[holder.server]
        return (link.leaving, holder in {shard.lost, shard.owner})
