"""Bounds of the queue before one backend server."""

from collections import Counter

from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile


class QueueBounds:
    """Counts what waits, by rank, in requests and in bytes.

    Each rank has its own part of the queue, in proportion to its share, so
    that a flood of one rank leaves the others their room.

    Args:
        profile: Settings that bound the queue.
    """

    def __init__(self, profile: Profile) -> None:
        self._profile = profile
        self._length_by_rank: Counter[Rank] = Counter()
        self._bytes_by_rank: Counter[Rank] = Counter()

    def apply(self, profile: Profile) -> None:
        """Take over changed settings."""
        self._profile = profile

    def has_place(self, ticket: Ticket) -> bool:
        """Return whether one more request of its rank may wait."""
        length = int(self._profile.queue_length * self._part(ticket.rank))
        return self._length_by_rank[ticket.rank] < max(1, length)

    def has_bytes(self, ticket: Ticket) -> bool:
        """Return whether the request's bytes fit into its rank's part."""
        size = self._profile.queue_bytes * self._part(ticket.rank)
        return self._bytes_by_rank[ticket.rank] + ticket.size <= size

    def enter(self, ticket: Ticket) -> None:
        """Count a request that begins to wait."""
        self._length_by_rank[ticket.rank] += 1
        self._bytes_by_rank[ticket.rank] += ticket.size

    def leave(self, ticket: Ticket) -> None:
        """Count a request that no longer waits."""
        self._length_by_rank[ticket.rank] -= 1
        self._bytes_by_rank[ticket.rank] -= ticket.size

    def _part(self, rank: Rank) -> float:
        shares = self._profile.shares
        whole = sum(shares.values()) or 1
        return shares.get(rank, 0) / whole
