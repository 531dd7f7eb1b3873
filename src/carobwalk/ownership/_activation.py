"""Activation of shard owners and the end of their grants."""

from carobwalk.ownership._events import (
    ShardActivated,
    ShardLapsed,
    ShardReleased,
)
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._holder_selector import HolderSelector
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


class Activation:
    """Ends the grants of failed and leaving owners and activates new owners.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._selector = HolderSelector(state)

    def decide(self, shard: ShardState) -> None:
        """End the owner's grant or activate a holder if either is due.

        Args:
            shard: Shard whose takeover by this coordinator is complete.
        """
        if shard.owner is not None:
            self._check_owner(shard, shard.owner)
        if shard.owner is None:
            holder = self._selector.next_holder(shard)
            is_delayed = self._state.now() < shard.not_before
            if holder is not None and not is_delayed:
                self._activate(shard, holder)

    def _check_owner(self, shard: ShardState, owner: Holder) -> None:
        link = self._state.links[owner.server]
        if self._has_expired(link, owner):
            shard.expired_at = self._state.now()
            self._end_grant(shard, owner, ShardLapsed)
        elif self._is_released(shard, link, owner):
            self._end_grant(shard, owner, ShardReleased)
        elif shard.release is None and self._should_release(shard, link):
            # The next order asks the owner to drain the shard.
            shard.release = link.sequence + 1
            link.trigger_order()

    def _has_expired(self, link: ServerLink, owner: Holder) -> bool:
        now = self._state.now()
        if not self._state.context.rules.wait_for_expiry:
            return not self._state.is_holder_alive(owner)
        return now > link.expiry_of(owner.incarnation)

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
        next_holder = self._selector.next_holder(shard)
        if next_holder is None or next_holder == shard.owner:
            return False
        if shard.target == next_holder:
            return True
        return (
            link.leaving and not self._state.links[next_holder.server].leaving
        )

    def _end_grant(
        self,
        shard: ShardState,
        owner: Holder,
        event: type[ShardLapsed] | type[ShardReleased],
    ) -> None:
        service, number = shard.shard_id
        self._state.remove_owner(shard)
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
        """Make a holder named by the shard's succession its owner."""
        state = self._state
        link = state.links[holder.server]
        ttl = state.context.times.ttl_with_drift(state.context.times.grant_ttl)
        expires_at = (
            link.reported_at
            + ttl
            + state.context.drain_seconds_of(link.service)
        )
        link.extend(holder.incarnation, expires_at)
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
