"""Load of one incarnation of a backend server, as this process sees it."""

import math
from typing import Final

from carobwalk.gateway.choice._priority_queue import PriorityQueue
from carobwalk.gateway.choice._send_gate import SendGate

# Least weight of a new latency in the moving average.
_SMOOTHING_FACTOR: Final = 0.15
# Time constant with which the weight of an observed latency decays.
_LATENCY_DECAY_SECONDS: Final = 3.0
_MIN_EJECTION_SECONDS: Final = 0.25
_MAX_EJECTION_SECONDS: Final = 2.0
# Fraction of the target latency above which the limit is decreased.
_SLOW_THRESHOLD_SHARE: Final = 0.7
_DECREASE_FACTOR: Final = 0.85
_INCREASE_STEP: Final = 0.1
_MIN_LIMIT: Final = 1.0


class ServerLoad:
    """Requests of this process at a server, and the latency of its answers.

    The concurrency limit is adapted by additive increase and multiplicative
    decrease: it is multiplied by a factor below 1 after an answer that is
    slow in relation to the target, and rises in small steps while it is
    reached and answers are fast.

    Args:
        limit: Initial concurrency limit, also the highest one until
            ``max_limit`` is set.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.max_limit = limit
        self.in_flight = 0
        self.queue = PriorityQueue()
        self.ejected_until = -math.inf
        self.gate = SendGate()
        self._latency: float | None = None
        self.latency_at = -math.inf
        self._failures = 0

    @property
    def has_capacity(self) -> bool:
        """Whether the concurrency limit admits another request."""
        return self.in_flight + 1 <= self.limit

    def adjust_limit(self, seconds: float, target_seconds: float) -> None:
        """Adapt the concurrency limit to the latency of an answer.

        Args:
            seconds: Latency of the answer.
            target_seconds: Target latency of the route.
        """
        if seconds > target_seconds * _SLOW_THRESHOLD_SHARE:
            self.limit = max(self.limit * _DECREASE_FACTOR, _MIN_LIMIT)
        elif self.in_flight + 1 >= self.limit:
            raised = self.limit + _INCREASE_STEP / self.limit
            self.limit = min(raised, self.max_limit)

    def start(self, route: str = '') -> None:
        """Count a request that is about to be sent as in flight.

        Args:
            route: Name of its route.
        """
        self.in_flight += 1
        self.queue.parts.start(route)
        _wake_next(self)

    def finish(self, route: str = '') -> None:
        """Count the end of a request and wake the next one in the queue.

        Args:
            route: Name of its route.
        """
        self.in_flight -= 1
        self.queue.parts.finish(route)
        _wake_next(self)

    def latency(self, now: float, service_latency: float) -> float:
        """Return the expected latency in seconds.

        The observed latency decays towards that of the service as it ages.

        Args:
            now: Current time in seconds.
            service_latency: Moving average of the latency of all servers of
                the service in seconds.
        """
        if self._latency is None:
            return service_latency
        age = max(now - self.latency_at, 0)
        weight = math.exp(-age / _LATENCY_DECAY_SECONDS)
        return service_latency + (self._latency - service_latency) * weight

    def record_answer(self, now: float, seconds: float) -> None:
        """Record the latency of an answer and end an ejection."""
        self._failures = 0
        self.ejected_until = -math.inf
        self._observe(now, seconds)

    def record_slow(self, now: float, seconds: float) -> None:
        """Record the time for which an abandoned request had no answer."""
        self._observe(now, seconds)

    def record_unreachable(self, now: float) -> None:
        """Record that the server can't be reached, and eject it for a time.

        The time doubles with each failure in a row, up to a maximum.
        """
        ejection_seconds = _MIN_EJECTION_SECONDS * 2**self._failures
        self._failures += 1
        self.ejected_until = now + min(ejection_seconds, _MAX_EJECTION_SECONDS)

    def _observe(self, now: float, seconds: float) -> None:
        if self._latency is None:
            self._latency = seconds
        else:
            age = max(now - self.latency_at, 0)
            weight = max(
                _SMOOTHING_FACTOR, 1 - math.exp(-age / _LATENCY_DECAY_SECONDS)
            )
            self._latency += (seconds - self._latency) * weight
        self.latency_at = now


def _wake_next(load: ServerLoad) -> None:
    """Wake the next request in the queue if there is capacity for it."""
    load.queue.parts.capacity = load.limit
    if load.has_capacity:
        load.queue.wake()
