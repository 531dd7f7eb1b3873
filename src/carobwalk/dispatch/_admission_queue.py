"""Bounded queue of requests that wait for a slot."""

from collections.abc import Collection

from carobwalk.dispatch._queue_bounds import QueueBounds
from carobwalk.dispatch._queue_policy import QueuePolicy, queue_policies
from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Failure, FailureKind, Outcome
from carobwalk.profiles import Profile


class AdmissionQueue:
    """Queues requests by policy and within limits.

    It also holds back an exclusive request until no other request runs.

    Args:
        profile: Settings that select the policy and limit the queue.
        durations: Mean time for which requests of each rank hold a slot.
    """

    def __init__(self, profile: Profile, durations: RankDurations) -> None:
        self._bounds = QueueBounds(profile, durations)
        self._policy = queue_policies.make(profile.dispatch_policy, profile)
        self._next_exclusive: Ticket | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._policy) + (self._next_exclusive is not None)

    @property
    def policy(self) -> QueuePolicy:
        """The policy in force."""
        return self._policy

    def apply(self, profile: Profile) -> None:
        """Apply changed settings; waiting requests stay queued."""
        self._bounds.apply(profile)
        waiting = self._policy.clear()
        self._policy = queue_policies.make(profile.dispatch_policy, profile)
        for ticket in waiting:
            self._policy.push(ticket)

    def push(self, ticket: Ticket) -> Failure | None:
        """Queue a request, evicting another of its rank if necessary.

        Args:
            ticket: The request.

        Returns:
            ``None`` if the request was queued, otherwise why it was refused.
        """
        if not self._bounds.fits_bytes(ticket):
            return self._queue_full()
        if not self._bounds.fits_length(ticket):
            victims = self._policy.evict(ticket)
            if not victims:
                return self._queue_full()
            for victim in victims:
                self._bounds.remove(victim)
                victim.refuse(self._queue_full())
        self._bounds.add(ticket)
        self._policy.push(ticket)
        return None

    def pop(self, now: float, running: Collection[Ticket]) -> Ticket | None:
        """Remove and return the request to start next, if one may start.

        Args:
            now: Current time on the dispatcher's clock.
            running: The requests that hold a slot.
        """
        if any(other.is_exclusive for other in running):
            return None
        ticket = self._next_exclusive or self._policy.pop(now)
        if ticket is None:
            return None
        if ticket.is_exclusive and running:
            # It starts once all running requests are done, before any other.
            self._next_exclusive = ticket
            return None
        self._next_exclusive = None
        self._bounds.remove(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits for a slot."""
        if self._next_exclusive is ticket:
            self._next_exclusive = None
        self._policy.remove(ticket)
        self._bounds.remove(ticket)

    def _queue_full(self) -> Failure:
        return Failure(
            kind=FailureKind.QUEUE_FULL,
            outcome=Outcome.NOT_RUN,
            detail=f'{len(self)} requests wait for the server',
        )
