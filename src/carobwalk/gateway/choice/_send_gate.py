"""Admission of requests to a backend server by its own notices."""

import math
import random
from typing import Final

from carobwalk.gateway._server_notice import ServerNotice

# Least rate at which a limited server is sent requests, over all processes: an
# answer tells that its limit has changed.
_MIN_RATE: Final = 0.125
# How long the right to send a request to a limited server is kept. Rights that
# all processes keep for longer could be used at the same moment.
_KEPT_SECONDS: Final = 2.0
# Interval of the checks whether the number of processes is known.
_UNKNOWN_SHARE_SECONDS: Final = 0.25


class SendGate:
    """Admits requests of this process as the server's notices allow.

    A refusal with a time closes the gate until then. A limit on the requests of
    all processes is divided evenly: each process has the right to send one
    request in an interval, from a random phase on, so that the rights of many
    processes are spread over it. A right that isn't used soon lapses.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self._closed_until = -math.inf
        self._next_at = -math.inf

    def apply(self, notice: ServerNotice, now: float) -> None:
        """Apply the notice of an answer; a limit holds until the next one.

        Args:
            notice: What the answer says of its server.
            now: Current time in seconds.
        """
        closed_until = now + notice.wait_seconds
        self._closed_until = max(self._closed_until, closed_until)
        if self.limit is None:
            self._next_at = math.inf
        self.limit = notice.limit

    def pause(self, now: float, sharers: int) -> float:
        """Return the seconds until a request may be sent, 0 if it may now.

        Args:
            now: Current time in seconds.
            sharers: Number of processes that share a limit, 0 if unknown.
        """
        closed = max(self._closed_until - now, 0)
        if self.limit is None:
            return closed
        if not sharers:
            return max(closed, _UNKNOWN_SHARE_SECONDS)
        interval = sharers / max(self.limit, _MIN_RATE)
        right_at = self._latest_right(now, interval)
        if now < right_at:
            return max(closed, right_at - now)
        if now - right_at > _KEPT_SECONDS:
            return max(closed, right_at + interval - now)
        return closed

    def pause_range(self, now: float, sharers: int) -> tuple[float, float]:
        """Return the least and the most that ``pause`` returns now.

        They differ while the random phase of the rights isn't drawn; this
        doesn't draw it.

        Args:
            now: Current time in seconds.
            sharers: Number of processes that share a limit, 0 if unknown.
        """
        if self.limit is None or not sharers or math.isfinite(self._next_at):
            pause = self.pause(now, sharers)
            return pause, pause
        closed = max(self._closed_until - now, 0)
        return closed, max(closed, sharers / max(self.limit, _MIN_RATE))

    def admit(self, now: float, sharers: int) -> None:
        """Record that a request is about to be sent, using up a right.

        Args:
            now: Current time in seconds.
            sharers: Number of processes that share a limit, 0 if unknown.
        """
        if self.limit is None or not sharers:
            return
        interval = sharers / max(self.limit, _MIN_RATE)
        self._next_at = self._latest_right(now, interval) + interval

    def _latest_right(self, now: float, interval: float) -> float:
        """Return the time of the latest right, or of the first one to come."""
        if math.isinf(self._next_at):
            self._next_at = now + random.random() * interval
        passed = max(now - self._next_at, 0) // interval
        return self._next_at + passed * interval
