"""Bounds of the queue before one backend server."""

import math
from collections import Counter

from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

_WAIT_OF_TIME_LIMIT = 0.25


class QueueBounds:
    """Counts what waits, by rank, in requests and in bytes.

    Each rank has its own part of the queue, in proportion to its share, so
    that a flood of one rank leaves the others their room.

    Args:
        profile: Settings that bound the queue.
        durations: Mean slot times by rank.
    """

    def __init__(self, profile: Profile, durations: RankDurations) -> None:
        self._profile = profile
        self._durations = durations
        self._length_by_rank: Counter[Rank] = Counter()
        self._bytes_by_rank: Counter[Rank] = Counter()

    def apply(self, profile: Profile) -> None:
        """Take over changed settings."""
        self._profile = profile

    def has_place(self, ticket: Ticket) -> bool:
        """Return whether one more request of its rank may wait."""
        return self._length_by_rank[ticket.rank] < self._places(ticket.rank)

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

    def _places(self, rank: Rank) -> int:
        """Return the longest queue of a rank.

        A queue that takes longer to work off than a part of the time limit
        would still delay the rank after a flood is over.
        """
        places = self._profile.queue_length * self._part(rank)
        mean = self._durations.mean(rank)
        if mean:
            slots = self._profile.slots * self._profile.shares.get(rank, 0)
            time = self._profile.time_limits.get(rank, math.inf)
            places = min(places, slots * time * _WAIT_OF_TIME_LIMIT / mean)
        return max(self._profile.slots, int(places))

    def _part(self, rank: Rank) -> float:
        shares = self._profile.shares
        whole = sum(shares.values()) or 1
        return shares.get(rank, 0) / whole
