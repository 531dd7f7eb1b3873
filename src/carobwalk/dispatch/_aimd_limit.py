"""Concurrency limit by additive increase, multiplicative decrease."""

import math

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_DECREASE = 0.5
_COOLDOWN_SECONDS = 0.2


@limit_policies.register('aimd')
class AimdLimit:
    """Adds a slot for each round of answers, halves on a refusal or loss.

    Args:
        profile: Settings that bound the limit by the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._limit: float = 1
        self._decreased_at = -math.inf

    def apply(self, profile: Profile) -> None:
        """Take over a changed number of slots."""
        self._slots = profile.slots
        self._limit = min(self._limit, self._slots)

    def may_start(self, running: int, now: float) -> bool:
        """Return whether the limit leaves room."""
        return running < int(self._limit)

    def wait(self, now: float) -> float:
        """Return infinity: only a finished request changes the answer."""
        return math.inf

    def started(self, now: float) -> None:
        """Do nothing: the caller counts what runs."""

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Raise the limit after answers, halve it after a refusal or loss."""
        if end is SendEnd.ANSWERED:
            self._limit = min(self._limit + 1 / self._limit, self._slots)
        is_pushback = end in {SendEnd.SHED, SendEnd.LOST}
        if is_pushback and now > self._decreased_at + _COOLDOWN_SECONDS:
            self._limit = max(self._limit * _DECREASE, 1)
            self._decreased_at = now
