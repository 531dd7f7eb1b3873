"""Coordinator's state of one shard."""

from dataclasses import dataclass, field
from math import inf

from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Holder, Succession


@dataclass(slots=True, kw_only=True, eq=False)
class ShardState:
    """State of one shard within one epoch.

    Args:
        shard_id: Service and number.
        record: Succession that the store confirmed.
        unsettled: Successions of writes with an unknown outcome.
        ready: Whether the takeover of the shard is complete.
        owner: Holder that may have a live grant.
        previous_owner: Owner whose grant ended last.
        expired_at: Time at which the coordinator found the grant of a silent
            owner expired; minus infinity if that never happened.
        not_before: Time from which no request of an earlier owner can still
            be running.
        sequence: Sequence of the owner's fencing token.
        release: Sequence of the first order that asks the owner to drain.
        target: Holder that a planned move assigns the shard to.
    """

    shard_id: ShardId
    record: Succession | None = None
    unsettled: list[Succession] = field(default_factory=list)
    ready: bool = False
    owner: Holder | None = None
    previous_owner: Holder | None = None
    expired_at: float = -inf
    not_before: float = -inf
    sequence: int = 0
    release: int | None = None
    target: Holder | None = None

    def safe_holders(self) -> tuple[Holder, ...]:
        """Return the holders that every possible record names."""
        if self.record is None:
            return ()
        return tuple(
            holder
            for holder in self.record.holders()
            if all(holder in maybe.holders() for maybe in self.unsettled)
        )
