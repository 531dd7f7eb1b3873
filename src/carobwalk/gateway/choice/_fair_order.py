"""Order in which waiting requests get capacity."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from functools import partial

from carobwalk.directory import BackendServer
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

    def pop(
        self, now: float, server: BackendServer | None = None
    ) -> Waiter | None:
        """Remove and return the request that is next.

        If all routes that wait hold their largest part, capacity goes to one
        of them nevertheless.

        Args:
            now: Current time in seconds.
            server: Server that has capacity, ``None`` if it isn't known.
        """
        accepts = partial(_accepts, server)
        may_start = partial(self._may_start, server)
        return self._pop_if(may_start, now) or self._pop_if(accepts, now)

    def has_for(self, server: BackendServer) -> bool:
        """Return whether a request waits that may be sent to a server."""
        accepts = partial(_accepts, server)
        return any(line.has(accepts) for line in self._lines_by_rank.values())

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
        lines = self._lines_by_rank
        own = lines[rank].ahead_of(caller) if rank in lines else 0
        urgent = _count(lines[each] for each in lines if each < rank)
        lower = _count(lines[each] for each in lines if each > rank)
        # The turns of its own rank come for certain, and lower ranks have some.
        own_turn = (own + 1) * TURNS_PER_LOWER_RANK - 1
        ahead = min(urgent + own, own_turn)
        return ahead + min(lower, ahead // (TURNS_PER_LOWER_RANK - 1))

    def _pop_if(
        self, may_start: Callable[[Waiter], bool], now: float
    ) -> Waiter | None:
        lines = {
            rank: line
            for rank, line in self._lines_by_rank.items()
            if line.has(may_start)
        }
        if not lines:
            return None
        line = lines[self._turns.take(lines)]
        waiter = line.pop_if(may_start, now)
        if waiter is not None:
            self._discount(waiter)
        return waiter

    def _may_start(self, server: BackendServer | None, waiter: Waiter) -> bool:
        if not _accepts(server, waiter):
            return False
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


def _count(lines: Iterable[RankLine]) -> int:
    return sum(map(len, lines))


def _accepts(server: BackendServer | None, waiter: Waiter) -> bool:
    """Return whether a request may be sent to a server, if it is known."""
    return server is None or waiter.accepts(server)
