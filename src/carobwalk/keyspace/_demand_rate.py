"""Request rate of a service over all processes."""

import math
from collections import deque
from typing import Final

_STEP_SECONDS: Final = 0.125
_LONG_WINDOW_SECONDS: Final = 3.0
# A rise is noticed in these windows. The first is the report interval, in which
# each process reports once.
_SHORT_WINDOWS_SECONDS: Final = (0.25, 0.5, 1.0)
# Deviations by which chance may raise the count of a short window.
_CHANCE_DEVIATIONS: Final = 1.5


class DemandRate:
    """Counts of requests in steps of an eighth of a second.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._steps: deque[tuple[int, int]] = deque()

    def add(self, now: float, count: int) -> None:
        """Count requests that were reported now."""
        step = math.floor(now / _STEP_SECONDS)
        if self._steps and self._steps[-1][0] == step:
            count += self._steps.pop()[1]
        self._steps.append((step, count))
        earliest = step - _LONG_WINDOW_SECONDS / _STEP_SECONDS
        while self._steps[0][0] < earliest:
            self._steps.popleft()

    def per_second(self, now: float) -> float:
        """Return the rate of the last seconds, or a higher one of late.

        The higher rate counts only as far as chance doesn't explain it: with
        the higher of several noisy rates, cold servers would get too little.
        """
        counted, seconds = self._count(now, _LONG_WINDOW_SECONDS)
        rate = counted / seconds
        for window in _SHORT_WINDOWS_SECONDS:
            counted, seconds = self._count(now, window)
            certain = counted - _CHANCE_DEVIATIONS * math.sqrt(counted)
            rate = max(rate, certain / seconds)
        return rate

    def _count(self, now: float, window: float) -> tuple[int, float]:
        """Return the requests in a window, and its length in whole steps."""
        first = math.floor((now - window) / _STEP_SECONDS) + 1
        start = max(first * _STEP_SECONDS, self._started_at)
        counted = sum(count for step, count in self._steps if step >= first)
        return counted, max(now - start, _STEP_SECONDS)
