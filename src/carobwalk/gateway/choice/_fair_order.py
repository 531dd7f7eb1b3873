"""Order in which waiting requests get capacity."""

from collections import Counter, defaultdict

from carobwalk.gateway.choice._rank_line import RankLine
from carobwalk.gateway.choice._rank_turns import (
    TURNS_PER_LOWER_RANK,
    RankTurns,
)
from carobwalk.gateway.choice._route_parts import RouteParts
from carobwalk.gateway.choice._waiter import Waiter


class FairOrder:
    """Waiting requests, ordered by rank and fairly among callers and routes.

    Each lower rank that waits gets every eighth turn. A route that holds its
    largest part of the capacity yields to the requests of other routes.

    Args:
        parts: Parts of the capacity that are held by route.
    """

    def __init__(self, parts: RouteParts) -> None:
        self._parts = parts
        self._turns = RankTurns()
        self._lines_by_rank: dict[int, RankLine] = defaultdict(RankLine)
        self._counts_by_route: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._counts_by_route.total()

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._lines_by_rank[waiter.rank].push(waiter)
        self._counts_by_route[waiter.route] += 1

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the request that is next.

        Args:
            now: Current time in seconds.
        """
        lines = {
            rank: line
            for rank, line in self._lines_by_rank.items()
            if line.has(self._may_start)
        }
        if not lines:
            return None
        line = lines[self._turns.take(lines)]
        waiter = line.pop_if(self._may_start, now)
        if waiter is not None:
            self._discount(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that waits."""
        self._lines_by_rank[waiter.rank].remove(waiter)
        self._discount(waiter)

    def ahead_of(self, rank: int, caller: str) -> int:
        """Return about how many requests are served before a new one.

        Args:
            rank: Rank of the new request.
            caller: Its caller.
        """
        own = self._length(rank) and self._lines_by_rank[rank].ahead_of(caller)
        ranks = self._lines_by_rank
        urgent = sum(self._length(each) for each in ranks if each < rank)
        lower = sum(self._length(each) for each in ranks if each > rank)
        # The turns of its own rank come for certain, and lower ranks have some.
        own_turn = (own + 1) * TURNS_PER_LOWER_RANK - 1
        ahead = min(urgent + own, own_turn)
        return ahead + min(lower, ahead // (TURNS_PER_LOWER_RANK - 1))

    def _length(self, rank: int) -> int:
        return len(self._lines_by_rank[rank])

    def _may_start(self, waiter: Waiter) -> bool:
        own_count = self._counts_by_route[waiter.route]
        if own_count == len(self):
            return True
        return not self._parts.is_exhausted(waiter.route)

    def _discount(self, waiter: Waiter) -> None:
        self._counts_by_route[waiter.route] -= 1
        if not self._counts_by_route[waiter.route]:
            self._counts_by_route.pop(waiter.route)
        if not self._lines_by_rank[waiter.rank]:
            self._lines_by_rank.pop(waiter.rank)
