"""Pacing by a delay between sends that adapts to refusals.

The rule is that of the adaptive controller in "Multi-Provider LLM Batch
Runtime" (published internal package, 2026): the delay falls by a tenth after
three successes in a row and grows 1.8 times, with a pause, on a throttle.
Both steps are multiplicative. Its first delay and its pause, 6 s and 10 s,
are scaled here to servers that answer within milliseconds.
"""

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_FIRST_DELAY_SECONDS = 0.1
_LEAST_DELAY_SECONDS = 0.001
_MOST_DELAY_SECONDS = 1
_SUCCESSES_PER_STEP = 3
_DECREASE = 0.9
_INCREASE = 1.8
_COOLDOWN_SECONDS = 0.2


@limit_policies.register('adaptive-delay')
class AdaptiveDelayLimit:
    """Starts requests at a distance in time, within the slots.

    Args:
        profile: Settings that give the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._delay: float = _FIRST_DELAY_SECONDS
        self._next_at: float = 0
        self._successes = 0

    def apply(self, profile: Profile) -> None:
        """Take over a changed number of slots."""
        self._slots = profile.slots

    def may_start(self, running: int, now: float) -> bool:
        """Return whether a slot is free and the delay is over."""
        return running < self._slots and now >= self._next_at

    def wait(self, now: float) -> float:
        """Return seconds until the delay is over."""
        return max(self._next_at - now, _LEAST_DELAY_SECONDS)

    def started(self, now: float) -> None:
        """Begin the delay to the next start."""
        self._next_at = max(self._next_at, now + self._delay)

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Shorten the delay after successes, lengthen it on a refusal."""
        if end is SendEnd.ANSWERED:
            self._successes += 1
            if self._successes % _SUCCESSES_PER_STEP == 0:
                shorter = self._delay * _DECREASE
                self._delay = max(shorter, _LEAST_DELAY_SECONDS)
        if end in {SendEnd.SHED, SendEnd.LOST}:
            self._successes = 0
            self._delay = min(self._delay * _INCREASE, _MOST_DELAY_SECONDS)
            self._next_at = now + _COOLDOWN_SECONDS
