"""Takeover of shards from an earlier coordinator."""

from dataclasses import dataclass

from carobwalk.model import FenceToken
from carobwalk.ownership._events import ShardTakenOver
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_messages import HeldShard
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


@dataclass(frozen=True, slots=True)
class _ReportedGrant:
    """A live grant that a holder reported when it was fenced.

    Args:
        holder: Holder that reported the grant.
        held: The reported grant.
        autonomous: Whether the holder had agreed to autonomy.
    """

    holder: Holder
    held: HeldShard
    autonomous: bool

    @property
    def token(self) -> FenceToken:
        """Return the token of the grant."""
        return self.held.token


class Takeover:
    """Determines the owner of shards that an earlier coordinator managed.

    A shard is taken over once every holder of its succession accepted the
    new epoch or was removed from the host list. Until then no order lists it.

    One holder suffices if it reports a live grant and did not agree to
    autonomy: the earlier coordinator would need the store to activate the
    other holder, and the store has the new epoch.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def decide(self, shard: ShardState) -> None:
        """Take the shard over if enough of its holders are fenced."""
        if shard.record is None:
            shard.ready = True
            return
        holders = shard.record.holders()
        reported = [
            grant
            for holder in holders
            for grant in self._reported_grants(shard, holder)
        ]
        one_suffices = any(not grant.autonomous for grant in reported)
        if not one_suffices and not self._are_fenced(holders):
            return
        shard.ready = True
        owner = self._choose_owner(reported)
        if owner is None:
            self._delay_activation(shard, holders)
        else:
            self._retain_owner(shard, owner)
        service, number = shard.shard_id
        self._state.emit(
            ShardTakenOver(
                group=self._state.group,
                epoch=self._state.epoch,
                service=service,
                shard=number,
                server=None if owner is None else owner.holder.server,
            ),
        )

    def _are_fenced(self, holders: tuple[Holder, ...]) -> bool:
        fenced = [self._is_fenced(holder) for holder in holders]
        if self._state.context.rules.fence_both:
            return all(fenced)
        return any(fenced)

    def _is_fenced(self, holder: Holder) -> bool:
        link = self._state.links.get(holder.server)
        if link is not None and link.fence is not None:
            return True
        recorded_at = self._state.store_status.recorded_at
        return self._state.hosts.is_removed(holder.server, recorded_at)

    def _reported_grants(
        self,
        shard: ShardState,
        holder: Holder,
    ) -> tuple[_ReportedGrant, ...]:
        link = self._state.links.get(holder.server)
        if link is None or link.fence is None:
            return ()
        is_enforced = self._state.context.rules.incarnation
        if is_enforced and link.fence.incarnation != holder.incarnation:
            return ()
        return tuple(
            _ReportedGrant(holder, held, link.fence.autonomous)
            for held in link.fence.held
            if held.shard_id == shard.shard_id
        )

    def _choose_owner(
        self, reported: list[_ReportedGrant]
    ) -> _ReportedGrant | None:
        if not reported:
            return None
        if self._state.context.rules.token_order:
            return max(reported, key=_token_of)
        return reported[0]

    def _delay_activation(
        self,
        shard: ShardState,
        holders: tuple[Holder, ...],
    ) -> None:
        """Delay the next activation until no earlier request can be running."""
        links = [self._state.links.get(holder.server) for holder in holders]
        drain_times = [
            self._state.context.drain_seconds_of(link.service)
            for link in links
            if link
        ]
        shard.not_before = self._state.now() + max(drain_times, default=0)

    def _retain_owner(self, shard: ShardState, owner: _ReportedGrant) -> None:
        link = self._state.links[owner.holder.server]
        remaining = self._state.context.times.ttl_with_drift(
            owner.held.remaining
        )
        is_enforced = self._state.context.rules.token_order
        reported_at = link.fenced_at if is_enforced else self._state.now()
        expires_at = (
            reported_at
            + remaining
            + self._state.context.drain_seconds_of(link.service)
        )
        link.extend(owner.holder.incarnation, expires_at)
        self._state.activate(shard, owner.holder)


def _token_of(grant: _ReportedGrant) -> FenceToken:
    return grant.token
