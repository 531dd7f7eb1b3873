"""Limit of this process on the requests that it sends to a cold server."""

import math
from typing import Final

# Refill in relation to this process's own part of the allowance.
_REFILL_RATIO: Final = 2.0
# With one token alone, random arrivals at half the refill rate would lose a
# third of the allowance; with three they lose 3 %.
_MAX_TOKENS: Final = 3.0
_WINDOW_SECONDS: Final = 4.0
_MIN_AGE_SECONDS: Final = 1.0


class WarmupCap:
    """Token bucket of a cold server, refilled by what this process is asked.

    The shares limit all processes together by chance. The bucket limits one
    process whose own traffic bursts before the coordinator learns of it.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._updated_at = now
        self._refilled_at = now
        self._asked: float = 0
        self._tokens = _MAX_TOKENS

    def ask(self, now: float) -> None:
        """Count a request that might be sent to the server."""
        self._decay(now)
        self._asked += 1

    def take(self, now: float, share: float) -> bool:
        """Take a token for a request; return whether there was one.

        Args:
            now: Current time in seconds.
            share: Share of the requests that the server may get.
        """
        self._decay(now)
        elapsed = now - self._refilled_at
        self._refilled_at = now
        refilled = elapsed * share * self._asked_rate(now) * _REFILL_RATIO
        self._tokens = min(self._tokens + refilled, _MAX_TOKENS)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _asked_rate(self, now: float) -> float:
        """Return how many requests per second this process is asked for."""
        age = max(now - self._started_at, _MIN_AGE_SECONDS)
        seen = 1 - math.exp(-age / _WINDOW_SECONDS)
        return self._asked / (_WINDOW_SECONDS * seen)

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._asked *= math.exp(-elapsed / _WINDOW_SECONDS)
        self._updated_at = now
