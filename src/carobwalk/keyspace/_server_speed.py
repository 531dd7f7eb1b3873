"""How long backend servers work on a request."""

import math
from typing import Final

from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._server_work import WorkRate

_FIRST_SECONDS: Final = 0.1
_WEIGHT_OF_NEW: Final = 0.25
_LEAST_FACTOR: Final = 0.3
_MOST_FACTOR: Final = 10.0
_LEAST_ENDED: Final = 3
_LEAST_RATE: Final = 0.5
# A server that was slow gets few requests, so that it is not heard of again
# soon; what is known of it loses its weight with time.
_FORGET_SECONDS: Final = 8.0


class ServerSpeeds:
    """Service times by life, worked out from answers and latencies.

    While a server has free slots, the latency is the service time. When all
    slots are busy, requests queue, and some are given up: then the service
    time is the number of slots divided by the answers a second.
    """

    def __init__(self) -> None:
        self._seconds_by_life: dict[ServerLife, float] = {}
        self._recorded_by_life: dict[ServerLife, float] = {}
        self._heard_by_life: dict[ServerLife, float] = {}

    def record(
        self,
        life: ServerLife,
        work: WorkRate,
        slots: int,
        now: float,
    ) -> None:
        """Take in the work of a while.

        Args:
            life: The server.
            work: Its work.
            slots: Requests that the server runs at once.
            now: Present time.
        """
        if work.ended < _LEAST_ENDED:
            return
        seconds = work.latency
        if work.in_flight > slots:
            seconds = slots / max(work.answered, _LEAST_RATE)
        known = self._seconds_by_life.get(life, seconds)
        self._seconds_by_life[life] = known + (seconds - known) * _WEIGHT_OF_NEW
        self._recorded_by_life[life] = now

    def heard(self, life: ServerLife, now: float) -> None:
        """Take in that a server answered."""
        self._heard_by_life[life] = max(
            now,
            self._heard_by_life.get(life, now),
        )

    def last_heard(self, life: ServerLife) -> float:
        """Return when a server last answered a request."""
        return self._heard_by_life.get(life, float('-inf'))

    def seconds(self, life: ServerLife, now: float) -> float:
        """Return the service time of a server in seconds."""
        usual = self.usual()
        known = self._seconds_by_life.get(life, usual)
        known = min(max(known, usual * _LEAST_FACTOR), usual * _MOST_FACTOR)
        if known <= usual:
            return known
        age = max(now - self._recorded_by_life.get(life, now), 0)
        return usual + (known - usual) * math.exp(-age / _FORGET_SECONDS)

    def usual(self) -> float:
        """Return the median service time in seconds."""
        if not self._seconds_by_life:
            return _FIRST_SECONDS
        ordered = sorted(self._seconds_by_life.values())
        return ordered[len(ordered) // 2]
