"""Decisions on the owner of a shard."""

from carobwalk.ownership._events import (
    ShardActivated,
    ShardLapsed,
    ShardReleased,
)
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._holder_choice import HolderChoice
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


class Activation:
    """Ends the grants of lost and leaving owners and activates others.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._choice = HolderChoice(state)

    def decide(self, shard: ShardState) -> None:
        """Do what the shard needs now; the shard was taken over."""
        if shard.owner is not None:
            self._check_owner(shard, shard.owner)
        if shard.owner is None:
            holder = self._choice.next_holder(shard)
            held_back = self._state.now() < shard.not_before
            if holder is not None and not held_back:
                self._activate(shard, holder)

    def _check_owner(self, shard: ShardState, owner: Holder) -> None:
        link = self._state.links[owner.server]
        if self._is_over(link, owner):
            shard.lapsed_at = self._state.now()
            self._end(shard, owner, ShardLapsed)
        elif self._is_released(shard, link, owner):
            self._end(shard, owner, ShardReleased)
        elif shard.release is None and self._should_release(shard, link):
            # The next order lists the shard as one to drain.
            shard.release = link.sequence + 1
            link.rouse()

    def _is_over(self, link: ServerLink, owner: Holder) -> bool:
        now = self._state.now()
        if not self._state.context.rules.wait:
            return not self._state.is_current(owner)
        return now > link.lapse_of(owner.incarnation)

    def _is_released(
        self,
        shard: ShardState,
        link: ServerLink,
        owner: Holder,
    ) -> bool:
        if shard.release is None or link.holder != owner:
            return False
        return (
            link.applied >= shard.release and shard.shard_id not in link.tokens
        )

    def _should_release(self, shard: ShardState, link: ServerLink) -> bool:
        next_holder = self._choice.next_holder(shard)
        if next_holder is None or next_holder == shard.owner:
            return False
        if shard.target == next_holder:
            return True
        return (
            link.leaving and not self._state.links[next_holder.server].leaving
        )

    def _end(
        self,
        shard: ShardState,
        owner: Holder,
        event: type[ShardLapsed] | type[ShardReleased],
    ) -> None:
        service, number = shard.shard_id
        self._state.vacate(shard)
        self._state.emit(
            event(
                group=self._state.group,
                epoch=self._state.epoch,
                service=service,
                shard=number,
                server=owner.server,
            ),
        )

    def _activate(self, shard: ShardState, holder: Holder) -> None:
        """Make a holder of the succession the owner."""
        state = self._state
        link = state.links[holder.server]
        ttl = state.context.times.lapse(state.context.times.grant_ttl)
        until = link.reported_at + ttl + state.context.hold_of(link.service)
        link.extend(holder.incarnation, until)
        state.activate(shard, holder)
        shard.target = None
        service, number = shard.shard_id
        state.emit(
            ShardActivated(
                group=state.group,
                epoch=state.epoch,
                sequence=shard.sequence,
                service=service,
                shard=number,
                server=holder.server,
            ),
        )
