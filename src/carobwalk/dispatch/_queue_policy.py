"""Interface and registry of queue policies."""

from typing import Protocol

from carobwalk.dispatch._registry import Registry
from carobwalk.dispatch._ticket import Ticket


class QueuePolicy(Protocol):
    """Order in which queued requests of one backend server start."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""

    def push(self, ticket: Ticket) -> None:
        """Queue a request."""

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the request to start next, if one may start."""

    def finish(self, ticket: Ticket, now: float) -> None:
        """Record that a request returned by `pop` has released its slot."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits for a slot."""

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all requests, oldest first."""

    def evict(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Evict requests in favour of a new one; return them."""


queue_policies: Registry[QueuePolicy] = Registry()
