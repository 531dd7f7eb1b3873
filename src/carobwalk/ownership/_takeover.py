"""Takeover of shards by a new coordinator."""

from dataclasses import dataclass

from carobwalk.model import FenceToken
from carobwalk.ownership._events import ShardTakenOver
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_messages import HeldShard
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder


@dataclass(frozen=True, slots=True)
class _Claim:
    """A live grant that a holder reported when it was fenced."""

    holder: Holder
    held: HeldShard
    autonomous: bool

    @property
    def token(self) -> FenceToken:
        """Return the token of the grant."""
        return self.held.token


class Takeover:
    """Decides who owns a shard that an earlier coordinator governed.

    A shard is taken over once every holder of its succession accepted the
    new epoch or is off the host list. Until then no order names it.

    One holder is enough where it reports a live grant and no autonomy: the
    earlier coordinator would need the store to activate the other one, and
    the store knows the new epoch.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def decide(self, shard: ShardState) -> None:
        """Take the shard over if its holders are fenced."""
        if shard.record is None:
            shard.ready = True
            return
        holders = shard.record.holders()
        claims = [
            claim for holder in holders for claim in self._claims(shard, holder)
        ]
        sole = any(not claim.autonomous for claim in claims)
        if not sole and not self._are_fenced(holders):
            return
        shard.ready = True
        owner = self._owner(claims)
        if owner is None:
            self._hold_back(shard, holders)
        else:
            self._keep(shard, owner)
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
        recorded_at = self._state.contact.recorded_at
        return self._state.hosts.is_gone(holder.server, recorded_at)

    def _claims(
        self,
        shard: ShardState,
        holder: Holder,
    ) -> tuple[_Claim, ...]:
        link = self._state.links.get(holder.server)
        if link is None or link.fence is None:
            return ()
        guarded = self._state.context.rules.incarnation
        if guarded and link.fence.incarnation != holder.incarnation:
            return ()
        return tuple(
            _Claim(holder, held, link.fence.autonomous)
            for held in link.fence.held
            if held.shard_id == shard.shard_id
        )

    def _owner(self, claims: list[_Claim]) -> _Claim | None:
        if not claims:
            return None
        if self._state.context.rules.token_order:
            return max(claims, key=_token_of)
        return claims[0]

    def _hold_back(
        self,
        shard: ShardState,
        holders: tuple[Holder, ...],
    ) -> None:
        """Wait for requests of an owner whose grant lapsed earlier."""
        links = [self._state.links.get(holder.server) for holder in holders]
        holds = [
            self._state.context.hold_of(link.service) for link in links if link
        ]
        shard.not_before = self._state.now() + max(holds, default=0)

    def _keep(self, shard: ShardState, owner: _Claim) -> None:
        link = self._state.links[owner.holder.server]
        remaining = self._state.context.times.lapse(owner.held.remaining)
        guarded = self._state.context.rules.token_order
        reported_at = link.fenced_at if guarded else self._state.now()
        until = (
            reported_at + remaining + self._state.context.hold_of(link.service)
        )
        link.extend(owner.holder.incarnation, until)
        self._state.activate(shard, owner.holder)


def _token_of(claim: _Claim) -> FenceToken:
    return claim.token
