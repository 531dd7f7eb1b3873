"""Estimated service times of backend servers."""

import math
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._server_work import WorkRate

_DEFAULT_SERVICE_SECONDS: Final = 0.1
_SMOOTHING_FACTOR: Final = 0.25
_MIN_MEDIAN_RATIO: Final = 0.3
_MAX_MEDIAN_RATIO: Final = 10.0
_MIN_ENDED_REQUESTS: Final = 3
_MIN_ANSWERS_PER_SECOND: Final = 0.5
# A server that was slow receives few requests and is seldom measured again, so
# its estimate decays towards the median.
_DECAY_SECONDS: Final = 8.0


class ServerSpeeds:
    """Estimates service times by incarnation from answers and latencies.

    While a server has free slots, the latency is the service time. When all
    slots are busy, requests queue and some are abandoned; the service time is
    then the number of slots divided by the answers per second.
    """

    def __init__(self) -> None:
        self._seconds_by_incarnation: dict[ServerIncarnation, float] = {}
        self._recorded_at_by_incarnation: dict[ServerIncarnation, float] = {}
        self._answered_at_by_incarnation: dict[ServerIncarnation, float] = {}

    def record(
        self,
        incarnation: ServerIncarnation,
        work: WorkRate,
        slots: int,
        now: float,
    ) -> None:
        """Update the estimate of a server by one measurement window.

        Args:
            incarnation: Incarnation of the server.
            work: Its work during the window.
            slots: Maximum number of requests that it runs concurrently.
            now: Current time in seconds.
        """
        if work.ended < _MIN_ENDED_REQUESTS:
            return
        seconds = work.latency
        if work.in_flight > slots:
            seconds = slots / max(
                work.answers_per_second, _MIN_ANSWERS_PER_SECOND
            )
        known = self._seconds_by_incarnation.get(incarnation, seconds)
        self._seconds_by_incarnation[incarnation] = (
            known + (seconds - known) * _SMOOTHING_FACTOR
        )
        self._recorded_at_by_incarnation[incarnation] = now

    def record_answer(self, incarnation: ServerIncarnation, now: float) -> None:
        """Record that a server answered a request."""
        self._answered_at_by_incarnation[incarnation] = max(
            now,
            self._answered_at_by_incarnation.get(incarnation, now),
        )

    def last_answered_at(self, incarnation: ServerIncarnation) -> float:
        """Return when a server last answered a request, ``-inf`` if never."""
        return self._answered_at_by_incarnation.get(incarnation, float('-inf'))

    def seconds(self, incarnation: ServerIncarnation, now: float) -> float:
        """Return the estimated service time of a server in seconds."""
        median = self.median_seconds()
        known = self._seconds_by_incarnation.get(incarnation, median)
        known = min(
            max(known, median * _MIN_MEDIAN_RATIO), median * _MAX_MEDIAN_RATIO
        )
        if known <= median:
            return known
        age = max(
            now - self._recorded_at_by_incarnation.get(incarnation, now), 0
        )
        return median + (known - median) * math.exp(-age / _DECAY_SECONDS)

    def median_seconds(self) -> float:
        """Return the median service time of all servers in seconds."""
        if not self._seconds_by_incarnation:
            return _DEFAULT_SERVICE_SECONDS
        ordered = sorted(self._seconds_by_incarnation.values())
        return ordered[len(ordered) // 2]
