"""How often keys are asked for."""

import math
from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

from carobwalk.keyspace._key_range import MOST_KEY

_WINDOW_SECONDS: Final = 1.5
_FORGOTTEN: Final = 0.05
# Part of the load that is taken to be spread evenly over all keys: counts of
# a short window are noisy.
_EVEN_SHARE: Final = 0.25


class KeyLoad:
    """Requests by key, older ones counting less.

    Args:
        now: Present time.
    """

    def __init__(self, now: float) -> None:
        self._updated = now
        self._started = now
        self._counts_by_key: dict[int, float] = {}
        self._keys: list[int] = []
        self._sums: list[float] = [0]

    def add(self, counts: Iterable[tuple[int, int]], now: float) -> None:
        """Count requests.

        Args:
            counts: Keys with their numbers of requests.
            now: Present time.
        """
        self._decay(now)
        for key, count in counts:
            known = self._counts_by_key.get(key, 0)
            self._counts_by_key[key] = known + count

    def refresh(self, now: float) -> None:
        """Bring the sums up to date."""
        self._decay(now)
        self._keys = sorted(self._counts_by_key)
        counts = [self._counts_by_key[key] for key in self._keys]
        self._sums = list(accumulate(counts, initial=0))

    @property
    def total(self) -> float:
        """Requests a second at the last refresh.

        Before any request was counted it is 1, so that keys count evenly.
        """
        if not self._sums[-1]:
            return 1.0
        age = max(self._updated - self._started, _WINDOW_SECONDS / 2)
        seen = 1 - math.exp(-age / _WINDOW_SECONDS)
        seconds = _WINDOW_SECONDS * seen
        return self._sums[-1] / seconds

    def rate(self, first: int, last: int) -> float:
        """Return the requests a second for a range of keys."""
        even = (last - first + 1) / (MOST_KEY + 1)
        if not self._sums[-1]:
            return even
        low = bisect_left(self._keys, first)
        high = bisect_left(self._keys, last + 1)
        counted = self._sums[high] - self._sums[low]
        share = counted / self._sums[-1]
        share += (even - share) * _EVEN_SHARE
        return self.total * share

    def excess(self, most: float) -> float:
        """Return the requests a second beyond a rate for each single key."""
        if not self._sums[-1]:
            return 0
        rates = (self.rate(key, key) for key in self._keys)
        return sum(rate - most for rate in rates if rate > most)

    def split_point(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of a part that begins a range.

        Args:
            first: First key of the range.
            last: Last key of the range.
            wanted: Requests a second that the part should have.

        Returns:
            The key at which the part comes closest; below ``first`` for an
            empty part.
        """
        low = first - 1
        high = last
        while low < high:
            middle = (low + high + 1) // 2
            if self.rate(first, middle) <= wanted:
                low = middle
            else:
                high = middle - 1
        if low < last and self._is_next_closer(first, low, wanted):
            return low + 1
        return low

    def _is_next_closer(self, first: int, end: int, wanted: float) -> bool:
        """Return whether one more key comes closer to a wanted rate."""
        rate = self.rate(first, end) if end >= first else 0
        above = self.rate(first, end + 1) - wanted
        return above < wanted - rate

    def _decay(self, now: float) -> None:
        age = max(now - self._updated, 0)
        factor = math.exp(-age / _WINDOW_SECONDS)
        self._updated = now
        self._counts_by_key = {
            key: count * factor
            for key, count in self._counts_by_key.items()
            if count * factor > _FORGOTTEN
        }
