"""Choice of the two holders that a shard's record should name."""

from carobwalk.ownership._context import group_of
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._rendezvous import rendezvous_score
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder, Succession


class SuccessionChoice:
    """Chooses owners for new shards and successors for all.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def wish(self, shard: ShardState) -> Succession | None:
        """Return the succession that the record should hold now.

        The first holder is the owner; without an owner it stays the recorded
        one, so that a write never drops a holder that may be active.
        """
        if not shard.ready:
            return shard.record
        first = self._first(shard)
        if first is None:
            return None
        if shard.target is not None and not self._may_stay(shard.target):
            # The server of a planned move restarted or went away.
            shard.target = None
        if shard.target is not None and shard.target != first:
            return Succession(first, shard.target)
        return Succession(first, self._second(shard, first))

    def candidates(self, shard_id: ShardId) -> list[Holder]:
        """Return the live servers of a service that stay, best one first."""
        home = self._state.group
        found = [
            link
            for link in self._state.links.values()
            if link.service == shard_id[0] and self._is_usable(link)
        ]
        found.sort(
            key=lambda link: (
                group_of(link.endpoint) != home,
                -_score(shard_id, link),
            ),
        )
        return [link.holder for link in found if link.holder is not None]

    def _first(self, shard: ShardState) -> Holder | None:
        if shard.owner is not None:
            return shard.owner
        if shard.record is not None:
            return shard.record.owner
        candidates = self.candidates(shard.shard_id)
        return candidates[0] if candidates else None

    def _second(self, shard: ShardState, first: Holder) -> Holder | None:
        """Return the recorded successor if it may stay, else a better one."""
        recorded = () if shard.record is None else shard.record.holders()
        kept = [old for old in recorded if old.server != first.server]
        staying = [old for old in kept if self._may_stay(old)]
        if staying and self._is_away(staying[0], first):
            return staying[0]
        others = [
            other
            for other in self.candidates(shard.shard_id)
            if other.server != first.server
        ]
        ranked = staying + others
        away = [holder for holder in ranked if self._is_away(holder, first)]
        # A successor that fails is better than none.
        return next(iter(away + ranked + kept), None)

    def _is_away(self, holder: Holder, first: Holder) -> bool:
        return self._place(holder) != self._place(first)

    def _place(self, holder: Holder) -> str | None:
        link = self._state.links.get(holder.server)
        return None if link is None else link.endpoint.data_centre

    def _may_stay(self, holder: Holder) -> bool:
        link = self._state.links.get(holder.server)
        if link is None or link.holder != holder or link.leaving:
            return False
        silence = self._state.now() - link.reported_at
        return silence <= self._state.context.times.absence

    def _is_usable(self, link: ServerLink) -> bool:
        return not link.leaving and self._state.is_fresh(link)


def _score(shard_id: ShardId, link: ServerLink) -> int:
    """Return the rendezvous score of a server for a shard."""
    return rendezvous_score(f'{shard_id[0]}/{shard_id[1]}', link.server)
