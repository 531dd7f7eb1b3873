"""What a coordinator knows of one shard."""

from dataclasses import dataclass, field
from math import inf

from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Holder, Succession


@dataclass(slots=True, kw_only=True, eq=False)
class ShardState:
    """State of one shard under one coordinator.

    Args:
        shard_id: Service and number.
        record: Succession that the store confirmed.
        unsettled: Successions of writes whose effect is unknown.
        ready: Whether the takeover of the shard is over.
        owner: Holder that has or may have a grant.
        lost: Holder that was owner last.
        lapsed_at: When the coordinator found that a silent owner's grant is
            over; minus infinity where no silent owner was given up.
        not_before: When requests of an earlier owner are surely over.
        sequence: Sequence of the owner's fence token.
        release: Sequence of the order that made the owner drain.
        target: Server that a planned move goes to.
    """

    shard_id: ShardId
    record: Succession | None = None
    unsettled: list[Succession] = field(default_factory=list)
    ready: bool = False
    owner: Holder | None = None
    lost: Holder | None = None
    lapsed_at: float = -inf
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
