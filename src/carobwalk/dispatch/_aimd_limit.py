"""Concurrency limit with additive increase, multiplicative decrease."""

import math

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_DECREASE_FACTOR = 0.5
_COOLDOWN_SECONDS = 0.2


@limit_policies.register('aimd')
class AimdLimit:
    """Adds a slot per round of responses, halves on shedding or loss.

    Args:
        profile: Settings whose number of slots is the maximum.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._limit: float = 1
        self._decreased_at = -math.inf

    def apply(self, profile: Profile) -> None:
        """Apply a changed number of slots."""
        self._slots = profile.slots
        self._limit = min(self._limit, self._slots)

    def may_start(self, running: int, now: float) -> bool:
        """Return whether fewer requests run than the limit allows."""
        return running < int(self._limit)

    def wait(self, now: float) -> float:
        """Return infinity: the limit does not change with time alone."""
        return math.inf

    def started(self, now: float) -> None:
        """Do nothing: the caller counts the running requests."""

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Raise the limit after a response, halve it on shedding or loss."""
        if end is SendEnd.ANSWERED:
            self._limit = min(self._limit + 1 / self._limit, self._slots)
        is_pushback = end in {SendEnd.SHED, SendEnd.LOST}
        if is_pushback and now > self._decreased_at + _COOLDOWN_SECONDS:
            self._limit = max(self._limit * _DECREASE_FACTOR, 1)
            self._decreased_at = now
