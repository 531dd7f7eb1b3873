"""Selection of the owner and successor that a record should name."""

from carobwalk.ownership._context import group_of
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._rendezvous import rendezvous_score
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder, Succession


class SuccessionSelector:
    """Selects owners for new shards and successors for all shards.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def desired_succession(self, shard: ShardState) -> Succession | None:
        """Return the succession that the record should contain now.

        It names the current owner first. Without one it keeps the recorded
        owner, so that a write never drops a holder that may be active.
        """
        if not shard.ready:
            return shard.record
        owner = self._choose_owner(shard)
        if owner is None:
            return None
        if shard.target is not None and not self._is_retainable(shard.target):
            # The target of a planned move restarted or failed.
            shard.target = None
        if shard.target is not None and shard.target != owner:
            return Succession(owner, shard.target)
        return Succession(owner, self._choose_successor(shard, owner))

    def candidates(self, shard_id: ShardId) -> list[Holder]:
        """Return the live, staying servers of a service, preferred first.

        Servers of the group's own data centre come first.
        """
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

    def _choose_owner(self, shard: ShardState) -> Holder | None:
        if shard.owner is not None:
            return shard.owner
        if shard.record is not None:
            return shard.record.owner
        candidates = self.candidates(shard.shard_id)
        return candidates[0] if candidates else None

    def _choose_successor(
        self, shard: ShardState, owner: Holder
    ) -> Holder | None:
        """Return a successor, preferably in another data centre.

        A recorded holder is kept if it is live and in another data centre
        than the owner.
        """
        recorded = () if shard.record is None else shard.record.holders()
        recorded_others = [
            old for old in recorded if old.server != owner.server
        ]
        retained = [old for old in recorded_others if self._is_retainable(old)]
        if retained and self._is_elsewhere(retained[0], owner):
            return retained[0]
        others = [
            other
            for other in self.candidates(shard.shard_id)
            if other.server != owner.server
        ]
        ranked = retained + others
        elsewhere = [
            holder for holder in ranked if self._is_elsewhere(holder, owner)
        ]
        # An unavailable recorded successor is better than none.
        return next(iter(elsewhere + ranked + recorded_others), None)

    def _is_elsewhere(self, holder: Holder, owner: Holder) -> bool:
        return self._data_centre(holder) != self._data_centre(owner)

    def _data_centre(self, holder: Holder) -> str | None:
        link = self._state.links.get(holder.server)
        return None if link is None else link.endpoint.data_centre

    def _is_retainable(self, holder: Holder) -> bool:
        link = self._state.links.get(holder.server)
        if link is None or link.holder != holder or link.leaving:
            return False
        silence = self._state.now() - link.reported_at
        return silence <= self._state.context.times.absence_timeout

    def _is_usable(self, link: ServerLink) -> bool:
        return not link.leaving and self._state.is_alive(link)


def _score(shard_id: ShardId, link: ServerLink) -> int:
    """Return the rendezvous score of a server for a shard."""
    return rendezvous_score(f'{shard_id[0]}/{shard_id[1]}', link.server)
