"""Request rates of keys."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

from carobwalk.keyspace._key_range import MAX_KEY

_MIN_WINDOW_SECONDS: Final = 1.5
_MAX_WINDOW_SECONDS: Final = 5.0
# Requests of a server that a window has on average. Fewer say little: equal
# servers would seem to differ by more than a quarter.
_REQUESTS_PER_SERVER: Final = 16
# Share by which the window approaches the one that fits at each refresh.
_WINDOW_STEP: Final = 0.1
_MIN_KEPT_REQUESTS: Final = 0.05
# Share of the load that is assumed to be spread evenly over all keys, because
# counts of a short window are noisy.
_EVEN_SHARE: Final = 0.25


class KeyLoad:
    """Exponentially decaying request counts by key.

    The counts of keys decay the more slowly, the fewer requests the servers
    get. The total does not depend on that.

    Args:
        now: Current time in seconds.
        window: Window of the counts in seconds, until it is fitted to a number
            of servers.
    """

    def __init__(self, now: float, window: float = _MAX_WINDOW_SECONDS) -> None:
        self._updated_at = now
        self._started_at = now
        self._window = window
        self._recent_count: float = 0
        self._counts_by_key: dict[int, float] = {}
        self._added: Counter[int] = Counter()
        self._keys: list[int] = []
        self._prefix_sums: list[float] = [0]

    def add(self, counts: Iterable[tuple[int, int]]) -> None:
        """Add requests to the counts; rates have them after a refresh.

        Args:
            counts: Pairs of a key and its number of requests.
        """
        for key, count in counts:
            self._added[key] += count

    def refresh(self, now: float, servers: int = 0) -> None:
        """Decay the counts and rebuild the prefix sums behind the rates.

        Args:
            now: Current time in seconds.
            servers: Number of servers that share the load, to which the window
                is adapted; 0 to leave it.
        """
        self._decay(now)
        for added_key, added in self._added.items():
            known = self._counts_by_key.get(added_key, 0)
            self._counts_by_key[added_key] = known + added
            self._recent_count += added
        self._added.clear()
        if servers:
            fitting = _fitting_window(self.total, servers)
            self._window += (fitting - self._window) * _WINDOW_STEP
        self._keys = sorted(self._counts_by_key)
        counts = [self._counts_by_key[key] for key in self._keys]
        self._prefix_sums = list(accumulate(counts, initial=0))

    @property
    def total(self) -> float:
        """Total requests per second at the last refresh.

        It is 1 until a request is counted, so that all keys weigh the same.
        """
        if not self._prefix_sums[-1]:
            return 1.0
        age = max(self._updated_at - self._started_at, _MIN_WINDOW_SECONDS / 2)
        seen = 1 - math.exp(-age / _MIN_WINDOW_SECONDS)
        return self._recent_count / (_MIN_WINDOW_SECONDS * seen)

    def rate(
        self, first: int, last: int, even_share: float = _EVEN_SHARE
    ) -> float:
        """Return the requests per second for a range of keys.

        Args:
            first: First key of the range.
            last: Last key of the range, inclusive.
            even_share: Share of the load that is assumed to be spread evenly
                over all keys.
        """
        even = (last - first + 1) / (MAX_KEY + 1)
        if not self._prefix_sums[-1]:
            return even
        low = bisect_left(self._keys, first)
        high = bisect_left(self._keys, last + 1)
        counted = self._prefix_sums[high] - self._prefix_sums[low]
        share = counted / self._prefix_sums[-1]
        share += (even - share) * even_share
        return self.total * share

    def chance_deviation(self, rate: float) -> float:
        """Return how far a counted rate deviates from a true one by chance.

        Args:
            rate: True requests per second.

        Returns:
            Standard deviation in requests per second, of counts that decay
            exponentially.
        """
        age = max(self._updated_at - self._started_at, _MIN_WINDOW_SECONDS / 2)
        unseen = math.exp(-age / self._window)
        counted_seconds = 2 * self._window * (1 - unseen) / (1 + unseen)
        return (1 - _EVEN_SHARE) * math.sqrt(rate / counted_seconds)

    def excess(self, max_rate: float) -> float:
        """Return the sum of the rates by which single keys exceed a maximum.

        Args:
            max_rate: Maximum requests per second for one key.
        """
        if not self._prefix_sums[-1]:
            return 0
        rates = (self.rate(key, key) for key in self._keys)
        return sum(rate - max_rate for rate in rates if rate > max_rate)

    def split_point(self, first: int, last: int, target_rate: float) -> int:
        """Return the last key of the prefix of a range closest to a rate.

        Args:
            first: First key of the range.
            last: Last key of the range, inclusive.
            target_rate: Requests per second that the prefix should receive.

        Returns:
            The last key of the prefix; below ``first`` if the prefix is
            empty.
        """
        low = first - 1
        high = last
        while low < high:
            middle = (low + high + 1) // 2
            if self.rate(first, middle) <= target_rate:
                low = middle
            else:
                high = middle - 1
        if low < last and self._is_next_closer(first, low, target_rate):
            return low + 1
        return low

    def _is_next_closer(self, first: int, end: int, target_rate: float) -> bool:
        """Return whether one more key brings the rate closer to its target."""
        rate = self.rate(first, end) if end >= first else 0
        above = self.rate(first, end + 1) - target_rate
        return above < target_rate - rate

    def _decay(self, now: float) -> None:
        age = max(now - self._updated_at, 0)
        factor = math.exp(-age / self._window)
        self._recent_count *= math.exp(-age / _MIN_WINDOW_SECONDS)
        self._updated_at = now
        self._counts_by_key = {
            key: count * factor
            for key, count in self._counts_by_key.items()
            if count * factor > _MIN_KEPT_REQUESTS
        }


def _fitting_window(rate: float, servers: int) -> float:
    """Return the window in seconds for the requests of some servers.

    Args:
        rate: Requests per second of all servers.
        servers: Number of servers that share them.
    """
    fitting = _REQUESTS_PER_SERVER * servers / max(rate, 1)
    return min(max(fitting, _MIN_WINDOW_SECONDS), _MAX_WINDOW_SECONDS)
