"""How long backend servers work on a request."""

from typing import Final

from carobwalk.keyspace._key_range import ServerLife

_FIRST_SECONDS: Final = 0.1
_WEIGHT_OF_NEW: Final = 0.25
_LEAST_FACTOR: Final = 0.3
_MOST_FACTOR: Final = 4.0
_LEAST_ANSWERS: Final = 3


class ServerSpeeds:
    """Service times by life, worked out from latencies.

    A server that has all slots busy makes requests queue, so that latency
    grows with its load; the service time is then the latency divided by the
    number of requests for each slot.
    """

    def __init__(self) -> None:
        self._seconds_by_life: dict[ServerLife, float] = {}
        self._heard_by_life: dict[ServerLife, float] = {}

    def record(
        self,
        life: ServerLife,
        answers: int,
        mean_latency: float,
        in_flight: float,
        slots: int,
    ) -> None:
        """Take in the answers of a while.

        Args:
            life: The server.
            answers: Number of answers.
            mean_latency: Their mean latency in seconds.
            in_flight: Mean number of requests in flight.
            slots: Requests that the server runs at once.
        """
        if answers < _LEAST_ANSWERS:
            return
        seconds = mean_latency / max(in_flight / slots, 1)
        known = self._seconds_by_life.get(life, seconds)
        self._seconds_by_life[life] = known + (seconds - known) * _WEIGHT_OF_NEW

    def heard(self, life: ServerLife, now: float) -> None:
        """Take in that a server answered."""
        self._heard_by_life[life] = max(
            now,
            self._heard_by_life.get(life, now),
        )

    def last_heard(self, life: ServerLife) -> float:
        """Return when a server last answered a request."""
        return self._heard_by_life.get(life, float('-inf'))

    def seconds(self, life: ServerLife) -> float:
        """Return the service time of a server in seconds."""
        usual = self.usual()
        known = self._seconds_by_life.get(life, usual)
        return min(max(known, usual * _LEAST_FACTOR), usual * _MOST_FACTOR)

    def usual(self) -> float:
        """Return the median service time in seconds."""
        if not self._seconds_by_life:
            return _FIRST_SECONDS
        ordered = sorted(self._seconds_by_life.values())
        return ordered[len(ordered) // 2]
