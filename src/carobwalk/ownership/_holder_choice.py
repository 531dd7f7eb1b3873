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
        if self._state.context.rules.settle_write:
            return shard.safe_holders()
        return () if shard.record is None else shard.record.holders()

    def _demerit(self, shard: ShardState, holder: Holder) -> tuple[bool, bool]:
        link = self._state.links[holder.server]
        return (link.leaving, holder in {shard.lost, shard.owner})
