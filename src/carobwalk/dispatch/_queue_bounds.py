"""Size limits of the request queue of one backend server."""

import math
from collections import Counter

from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

_MAX_WAIT_FRACTION = 0.25


class QueueBounds:
    """Limits the waiting requests of each rank in number and bytes.

    Each rank has its own part of the queue, in proportion to its share, so
    that a flood of one rank does not use up the capacity of the others.

    Args:
        profile: Settings that limit the queue.
        durations: Mean time for which requests of each rank hold a slot.
    """

    def __init__(self, profile: Profile, durations: RankDurations) -> None:
        self._profile = profile
        self._durations = durations
        self._length_by_rank: Counter[Rank] = Counter()
        self._bytes_by_rank: Counter[Rank] = Counter()

    def apply(self, profile: Profile) -> None:
        """Apply changed settings."""
        self._profile = profile

    def fits_length(self, ticket: Ticket) -> bool:
        """Return whether one more request of its rank may be queued."""
        return self._length_by_rank[ticket.rank] < self._max_length(ticket.rank)

    def fits_bytes(self, ticket: Ticket) -> bool:
        """Return whether the request fits into the bytes of its rank."""
        size = self._profile.queue_bytes * self._fraction(ticket.rank)
        return self._bytes_by_rank[ticket.rank] + ticket.size <= size

    def add(self, ticket: Ticket) -> None:
        """Count a request that was queued."""
        self._length_by_rank[ticket.rank] += 1
        self._bytes_by_rank[ticket.rank] += ticket.size

    def remove(self, ticket: Ticket) -> None:
        """Discount a request that was removed from the queue."""
        self._length_by_rank[ticket.rank] -= 1
        self._bytes_by_rank[ticket.rank] -= ticket.size

    def _max_length(self, rank: Rank) -> int:
        """Return the maximum queue length of a rank.

        The time to drain the queue is limited to a fraction of the rank's
        time limit; a longer queue would delay the rank even after a flood
        has ended.
        """
        length = self._profile.queue_length * self._fraction(rank)
        mean = self._durations.mean(rank)
        if mean:
            slots = self._profile.slots * self._profile.shares.get(rank, 0)
            time = self._profile.time_limits.get(rank, math.inf)
            length = min(length, slots * time * _MAX_WAIT_FRACTION / mean)
        return max(self._profile.slots, int(length))

    def _fraction(self, rank: Rank) -> float:
        shares = self._profile.shares
        whole = sum(shares.values()) or 1
        return shares.get(rank, 0) / whole
