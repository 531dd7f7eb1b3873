"""Estimates of the service times of the backend servers of one service."""

import math
from statistics import median
from typing import Final

from carobwalk.directory import ServerIncarnation

# A server that slows down shows within this time, while a noisy period of 0.4 s
# raises the estimate by less than a half.
_WINDOW_SECONDS: Final = 2.0
# Answers at the median that each estimate starts from, and that it drifts back
# to without answers of its own. With 2 in place of 6, the p99 with noisy
# servers was 2.28 s in place of 1.89 s: all processes chose servers that seemed
# fast by chance.
_PRIOR_ANSWERS: Final = 6.0
# Answers within the window that make an estimate count for the median.
_MIN_ANSWERS: Final = 1.0
_DEFAULT_SECONDS: Final = 0.1
_MIN_MEDIAN_RATIO: Final = 0.2
_MAX_MEDIAN_RATIO: Final = 20.0


class _Work:
    """Exponentially decaying sums of a server's work."""

    __slots__ = ('answers', 'busy_seconds')

    def __init__(self) -> None:
        self.answers: float = 0
        self.busy_seconds: float = 0


class ServiceSeconds:
    """Service times of the servers of one service.

    The service time is the time for which slots were busy, divided by the
    answers of that time. As long as slots are free, that equals the latency; a
    queue doesn't add to it. A server whose requests take longer shows before
    the first of them is answered.
    """

    def __init__(self) -> None:
        self._work: dict[ServerIncarnation, _Work] = {}
        self._median = _DEFAULT_SECONDS

    @property
    def median_seconds(self) -> float:
        """Median service time of the servers, in seconds."""
        return self._median

    def advance(
        self,
        length: float,
        busy_slots: dict[ServerIncarnation, float],
        answers: dict[ServerIncarnation, int],
    ) -> None:
        """Add the work of an interval; servers not listed are forgotten.

        Args:
            length: Length of the interval in seconds.
            busy_slots: Mean number of busy slots of each server of the service.
            answers: Number of answers of each server, if any.
        """
        factor = math.exp(-length / _WINDOW_SECONDS)
        former = self._work
        self._work = {}
        for incarnation, busy in busy_slots.items():
            work = former.get(incarnation) or _Work()
            work.answers = work.answers * factor + answers.get(incarnation, 0)
            work.busy_seconds = work.busy_seconds * factor + busy * length
            self._work[incarnation] = work
        observed = [
            work.busy_seconds / work.answers
            for work in self._work.values()
            if work.answers >= _MIN_ANSWERS and work.busy_seconds > 0
        ]
        if observed:
            self._median = median(observed)

    def seconds(self, incarnation: ServerIncarnation) -> float:
        """Return the estimated service time of a server in seconds."""
        work = self._work.get(incarnation)
        if work is None:
            return self._median
        busy = work.busy_seconds + _PRIOR_ANSWERS * self._median
        seconds = busy / (work.answers + _PRIOR_ANSWERS)
        lowest = self._median * _MIN_MEDIAN_RATIO
        return min(max(seconds, lowest), self._median * _MAX_MEDIAN_RATIO)
