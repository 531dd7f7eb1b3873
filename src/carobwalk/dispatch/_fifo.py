"""Queue policy: first in, first out, regardless of rank."""

from collections import deque

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._ticket import Ticket
from carobwalk.profiles import Profile


@queue_policies.register('fifo')
class Fifo:
    """Starts requests in the order of their arrival.

    Args:
        profile: Settings; none is used.
    """

    def __init__(self, profile: Profile) -> None:
        self._tickets: deque[Ticket] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def push(self, ticket: Ticket) -> None:
        """Append a request."""
        self._tickets.append(ticket)

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the oldest request, if one is waiting."""
        if self._tickets:
            return self._tickets.popleft()
        return None

    def finish(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on running requests."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a request, if it is queued."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all requests, oldest first."""
        waiting = tuple(self._tickets)
        self._tickets.clear()
        return waiting

    def evict(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Evict nothing: the new request is refused."""
        return ()
