"""Queue entry of a request that waits for a slot."""

from dataclasses import dataclass, field

import trio

from carobwalk.model import Failure, Rank


@dataclass(slots=True, eq=False, kw_only=True)
class Ticket:
    """Entry of one request in the queue of a backend server.

    Args:
        rank: Rank of the request.
        caller: Name of the caller.
        size: Bytes of memory that the request uses while it waits.
        expires_at: Deadline of the request on the dispatcher's clock.
        is_exclusive: Whether no other request may run beside it.
        settled: Set when the request is admitted or refused.
        refusal: Why the request was refused.
        started_at: When the request was admitted to a slot.
    """

    rank: Rank
    caller: str
    size: int
    expires_at: float
    is_exclusive: bool = False
    settled: trio.Event = field(default_factory=trio.Event)
    refusal: Failure | None = None
    started_at: float | None = None

    def admit(self, now: float) -> None:
        """Admit the request to a slot."""
        self.started_at = now
        self.settled.set()

    def held_seconds(self, now: float) -> float:
        """Return for how many seconds the request has held its slot."""
        return 0 if self.started_at is None else now - self.started_at

    def refuse(self, failure: Failure) -> None:
        """Refuse the request, which ends its wait."""
        self.refusal = failure
        self.settled.set()
