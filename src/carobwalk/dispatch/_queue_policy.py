"""Contract and registry of queue policies."""

from typing import Protocol

from carobwalk.dispatch._registry import Registry
from carobwalk.dispatch._ticket import Ticket


class QueuePolicy(Protocol):
    """Order in which the waiting requests of one backend server start."""

    def __len__(self) -> int:
        """Return how many requests wait."""

    def push(self, ticket: Ticket) -> None:
        """Add a request."""

    def pop(self, now: float) -> Ticket | None:
        """Take out the request that starts next, if one may start."""

    def finish(self, ticket: Ticket, now: float) -> None:
        """Note that a request that was taken out has left its slot."""

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that no longer waits for a slot."""

    def clear(self) -> tuple[Ticket, ...]:
        """Take out all requests, oldest first."""

    def push_out(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Take out what makes room for a new request; empty if nothing."""


queue_policies: Registry[QueuePolicy] = Registry()
