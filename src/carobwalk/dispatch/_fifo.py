"""Queue policy without ranks: first in, first out."""

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
        """Return how many requests wait."""
        return len(self._tickets)

    def push(self, ticket: Ticket) -> None:
        """Add a request at the end."""
        self._tickets.append(ticket)

    def pop(self, now: float) -> Ticket | None:
        """Take out the oldest request."""
        if self._tickets:
            return self._tickets.popleft()
        return None

    def finish(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on what runs."""

    def remove(self, ticket: Ticket) -> None:
        """Take out a request, if it waits here."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def clear(self) -> tuple[Ticket, ...]:
        """Take out all requests, oldest first."""
        waiting = tuple(self._tickets)
        self._tickets.clear()
        return waiting

    def push_out(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Return nothing: the newest request is refused."""
        return ()
