"""Rate limit for the calls of a watch."""

from typing import Final

from carobwalk.model import Clock

_BURST_CALLS: Final = 3


class WatchRateLimiter:
    """Token bucket that allows short bursts of watch calls.

    Each change that ends a watch costs one call of every process that watches
    the prefix. Single changes are fetched at once; during a series of changes,
    those of some time are fetched with a single call.

    Args:
        clock: Clock by which the bucket is refilled.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = float(_BURST_CALLS)
        self._refilled_at = clock.now()

    def reserve(self, seconds_per_call: float) -> float:
        """Take a token for one call; return the seconds to wait before it.

        Args:
            seconds_per_call: Mean time between calls during a series of
                changes, 0 for no limit.
        """
        if not seconds_per_call:
            return 0
        now = self._clock.now()
        refill = (now - self._refilled_at) / seconds_per_call
        self._refilled_at = now
        self._tokens = min(self._tokens + refill, _BURST_CALLS) - 1
        return max(-self._tokens * seconds_per_call, 0)
