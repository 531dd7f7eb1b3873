"""What the process knows of the load of one life of a backend server."""

import math
from typing import Final

from carobwalk.gateway._waiting_line import WaitingLine

_WEIGHT_OF_NEW: Final = 0.15
_FORGET_SECONDS: Final = 3.0
_FIRST_SUSPENSION_SECONDS: Final = 0.25
_LONGEST_SUSPENSION_SECONDS: Final = 2.0
# Share of the wanted latency above which the limit falls.
_SLOW_SHARE: Final = 0.7
_DECREASE: Final = 0.85
_INCREASE: Final = 0.1
_LEAST_LIMIT: Final = 1.0


class ServerLoad:
    """Requests in flight from this process, and the latency that they meet.

    The limit follows the latency of answers: it falls by a factor while
    answers are slower than wanted, and rises step by step while it is reached
    and they are not (additive increase, multiplicative decrease).

    Args:
        limit: Requests that this process may have in flight there at first.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.highest_limit = limit
        self.in_flight = 0
        self.line = WaitingLine()
        self.suspended_until = -math.inf
        self._latency: float | None = None
        self._latency_at = -math.inf
        self._failures = 0

    @property
    def has_room(self) -> bool:
        """Whether another request may be sent."""
        return self.in_flight + 1 <= self.limit

    def adapt(self, seconds: float, wanted: float) -> None:
        """Let the limit follow the latency of an answer.

        Args:
            seconds: Latency of the answer.
            wanted: Latency within which answers are wanted.
        """
        if seconds > wanted * _SLOW_SHARE:
            self.limit = max(self.limit * _DECREASE, _LEAST_LIMIT)
        elif self.in_flight + 1 >= self.limit:
            raised = self.limit + _INCREASE / self.limit
            self.limit = min(raised, self.highest_limit)

    def start(self) -> None:
        """Count a request that is about to be sent."""
        self.in_flight += 1

    def finish(self) -> None:
        """Count the end of a request."""
        self.in_flight -= 1
        self.line.wake()

    def latency(self, now: float, usual: float) -> float:
        """Return the latency to expect in seconds.

        Args:
            now: Present time.
            usual: Latency of the service's servers, which replaces what was
                seen here as that grows old.
        """
        if self._latency is None:
            return usual
        age = max(now - self._latency_at, 0)
        trust = math.exp(-age / _FORGET_SECONDS)
        return usual + (self._latency - usual) * trust

    def record_answer(self, now: float, seconds: float) -> None:
        """Take in the latency of an answer."""
        self._failures = 0
        self.suspended_until = -math.inf
        self._observe(now, seconds)

    def record_slow(self, now: float, seconds: float) -> None:
        """Take in that no answer came for a time."""
        self._observe(now, seconds)

    def record_unreachable(self, now: float) -> None:
        """Take in that the server can't be reached; spare it for a while."""
        pause = _FIRST_SUSPENSION_SECONDS * 2**self._failures
        self._failures += 1
        self.suspended_until = now + min(pause, _LONGEST_SUSPENSION_SECONDS)

    def _observe(self, now: float, seconds: float) -> None:
        if self._latency is None:
            self._latency = seconds
        else:
            age = max(now - self._latency_at, 0)
            weight = max(_WEIGHT_OF_NEW, 1 - math.exp(-age / _FORGET_SECONDS))
            self._latency += (seconds - self._latency) * weight
        self._latency_at = now
