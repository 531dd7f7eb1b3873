"""Rate limit that adapts the delay between sends to load shedding.

The algorithm is that of the adaptive controller in "Multi-Provider LLM Batch
Runtime" (published internal package, 2026): the delay decreases by 10 % after
three consecutive successes and is multiplied by 1.8, followed by a cooldown,
when a request is throttled. The original initial delay of 6 s and cooldown of
10 s are scaled down for servers that respond within milliseconds.
"""

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_INITIAL_DELAY_SECONDS = 0.1
_MIN_DELAY_SECONDS = 0.001
_MAX_DELAY_SECONDS = 1
_SUCCESSES_PER_STEP = 3
_DECREASE_FACTOR = 0.9
_INCREASE_FACTOR = 1.8
_COOLDOWN_SECONDS = 0.2


@limit_policies.register('adaptive-delay')
class AdaptiveDelayLimit:
    """Enforces a minimum delay between starts, within the slots.

    Args:
        profile: Settings that define the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._delay_seconds: float = _INITIAL_DELAY_SECONDS
        self._next_at: float = 0
        self._successes = 0

    def apply(self, profile: Profile) -> None:
        """Apply a changed number of slots."""
        self._slots = profile.slots

    def may_start(self, running: int, now: float) -> bool:
        """Return whether a slot is free and the delay has elapsed."""
        return running < self._slots and now >= self._next_at

    def wait(self, now: float) -> float:
        """Return the remaining delay in seconds."""
        return max(self._next_at - now, _MIN_DELAY_SECONDS)

    def started(self, now: float) -> None:
        """Schedule the earliest time of the next start."""
        self._next_at = max(self._next_at, now + self._delay_seconds)

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Shorten the delay after successes, extend it on shedding or loss."""
        if end is SendEnd.ANSWERED:
            self._successes += 1
            if self._successes % _SUCCESSES_PER_STEP == 0:
                shorter = self._delay_seconds * _DECREASE_FACTOR
                self._delay_seconds = max(shorter, _MIN_DELAY_SECONDS)
        if end in {SendEnd.SHED, SendEnd.LOST}:
            self._successes = 0
            self._delay_seconds = min(
                self._delay_seconds * _INCREASE_FACTOR, _MAX_DELAY_SECONDS
            )
            self._next_at = now + _COOLDOWN_SECONDS
