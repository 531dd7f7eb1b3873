"""The bounded queue before the slots of one backend server."""

from collections.abc import Collection

from carobwalk.dispatch._queue_bounds import QueueBounds
from carobwalk.dispatch._queue_policy import QueuePolicy, queue_policies
from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Failure, FailureKind, Outcome
from carobwalk.profiles import Profile


class WaitingLine:
    """Queue policy, bounds and the request that waits to run alone.

    Args:
        profile: Settings that name the policy and bound the queue.
        durations: Mean slot times by rank.
    """

    def __init__(self, profile: Profile, durations: RankDurations) -> None:
        self._bounds = QueueBounds(profile, durations)
        self._policy = queue_policies.make(profile.dispatch_policy, profile)
        self._next_solo: Ticket | None = None

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._policy) + (self._next_solo is not None)

    @property
    def policy(self) -> QueuePolicy:
        """The policy in force."""
        return self._policy

    def apply(self, profile: Profile) -> None:
        """Take over changed settings; what waits goes on waiting."""
        self._bounds.apply(profile)
        waiting = self._policy.clear()
        self._policy = queue_policies.make(profile.dispatch_policy, profile)
        for ticket in waiting:
            self._policy.push(ticket)

    def enter(self, ticket: Ticket) -> Failure | None:
        """Add a request.

        Args:
            ticket: The request. It may take the place of another of its rank.

        Returns:
            Why there is no room for it, or ``None`` where it waits.
        """
        if not self._bounds.has_bytes(ticket):
            return self._full()
        if not self._bounds.has_place(ticket):
            victims = self._policy.push_out(ticket)
            if not victims:
                return self._full()
            for victim in victims:
                self._bounds.leave(victim)
                victim.refuse(self._full())
        self._bounds.enter(ticket)
        self._policy.push(ticket)
        return None

    def take(self, now: float, running: Collection[Ticket]) -> Ticket | None:
        """Take out the request that starts next.

        Args:
            now: Time on the dispatcher's clock.
            running: The requests that have slots.
        """
        if any(other.solo for other in running):
            return None
        ticket = self._next_solo or self._policy.pop(now)
        if ticket is None:
            return None
        if ticket.solo and running:
            # It waits until all others are done; nothing overtakes it.
            self._next_solo = ticket
            return None
        self._next_solo = None
        self._bounds.leave(ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Take out a request that no longer waits for a slot."""
        if self._next_solo is ticket:
            self._next_solo = None
        self._policy.remove(ticket)
        self._bounds.leave(ticket)

    def _full(self) -> Failure:
        return Failure(
            kind=FailureKind.QUEUE_FULL,
            outcome=Outcome.NOT_RUN,
            detail=f'{len(self)} requests wait for the server',
        )
