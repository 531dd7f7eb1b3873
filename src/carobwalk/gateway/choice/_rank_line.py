"""Waiting requests of one rank."""

from collections import Counter
from collections.abc import Callable

from carobwalk.fairness import CallerQueue
from carobwalk.gateway.choice._waiter import Waiter


class RankLine:
    """Waiting requests of one rank, served round robin by caller.

    The requests of a caller are ordered by deadline. Requests that can no
    longer be on time yield to those that can.
    """

    def __init__(self) -> None:
        self._on_time = CallerQueue(_deadline)
        self._late = CallerQueue(_deadline)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._on_time) + len(self._late)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._on_time.push(waiter)

    def pop_if(
        self, may_start: Callable[[Waiter], bool], now: float
    ) -> Waiter | None:
        """Remove and return the next request that meets a condition."""
        for waiter in tuple(self._on_time):
            if waiter.on_time_until < now:
                self._on_time.remove(waiter)
                self._late.push(waiter)
        return self._on_time.pop_if(may_start) or self._late.pop_if(may_start)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, if it waits."""
        self._on_time.remove(waiter)
        self._late.remove(waiter)

    def has(self, may_start: Callable[[Waiter], bool]) -> bool:
        """Return whether a waiting request meets a condition."""
        return any(map(may_start, self._on_time)) or any(
            map(may_start, self._late)
        )

    def ahead_of(self, caller: str) -> int:
        """Return how many requests are served before a new one of a caller."""
        counts = Counter(waiter.caller for waiter in self._on_time)
        own = counts.pop(caller, 0)
        rounds = own + 1
        return own + sum(min(count, rounds) for count in counts.values())


def _deadline(waiter: Waiter) -> float:
    return waiter.deadline
