"""Concurrency limit by counting the known slots."""

import math

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_COLD_LIMIT = 1
_ANSWERS_PER_STEP = 4


@limit_policies.register('slots')
class SlotsLimit:
    """Counts slots; a cold or failing server gets one request at a time.

    Each few answers in a row add a slot, up to the profile's number.

    Args:
        profile: Settings that give the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._limit = min(_COLD_LIMIT, self._slots)
        self._answers = 0

    def apply(self, profile: Profile) -> None:
        """Take over a changed number of slots."""
        self._slots = profile.slots
        self._limit = min(self._limit, self._slots)

    def may_start(self, running: int, now: float) -> bool:
        """Return whether a slot is free."""
        return running < self._limit

    def wait(self, now: float) -> float:
        """Return infinity: only a finished request frees a slot."""
        return math.inf

    def started(self, now: float) -> None:
        """Do nothing: the caller counts what runs."""

    def ended(self, end: SendEnd, now: float) -> None:
        """Raise the limit after answers, drop it after a loss."""
        if end is SendEnd.LOST:
            self._limit = min(_COLD_LIMIT, self._slots)
            self._answers = 0
        if end is SendEnd.ANSWERED:
            self._answers += 1
            steps = self._answers // _ANSWERS_PER_STEP
            self._answers %= _ANSWERS_PER_STEP
            self._limit = min(self._limit + steps, self._slots)
