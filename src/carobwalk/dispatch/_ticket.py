"""A request that waits for a slot."""

from dataclasses import dataclass, field

import trio

from carobwalk.model import Failure, Rank


@dataclass(slots=True, eq=False, kw_only=True)
class Ticket:
    """Place of one request in the queue of a backend server.

    Args:
        rank: Urgency class.
        caller: Name of the caller.
        size: Bytes that the request holds in memory while it waits.
        expires_at: End of the request's time on the dispatcher's clock.
        solo: Whether the request must run with no other beside it.
        settled: Set when a slot is granted or the request is refused.
        refusal: Why no slot is granted.
        started_at: When the slot was granted.
    """

    rank: Rank
    caller: str
    size: int
    expires_at: float
    solo: bool = False
    settled: trio.Event = field(default_factory=trio.Event)
    refusal: Failure | None = None
    started_at: float | None = None

    def grant(self, now: float) -> None:
        """Give the request its slot."""
        self.started_at = now
        self.settled.set()

    def held(self, now: float) -> float:
        """Return for how many seconds the request has had its slot."""
        return 0 if self.started_at is None else now - self.started_at

    def refuse(self, failure: Failure) -> None:
        """End the wait without a slot."""
        self.refusal = failure
        self.settled.set()
