"""Concurrency limit by counting the known slots."""

import math

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_COLD_LIMIT = 1
_ANSWERS_PER_STEP = 4
_PROBE_SECONDS = 1


@limit_policies.register('slots')
class SlotsLimit:
    """Counts slots, from one at a cold server up to the profile's number.

    Each few answers in a row add a slot; a loss halves the limit. A server
    that sheds gets no more than it ran then, and one more after a while.

    Args:
        profile: Settings that give the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._limit = min(_COLD_LIMIT, self._slots)
        self._answers = 0
        self._shed_until = -math.inf

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

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Raise the limit after answers, lower it when the server fails."""
        if end is SendEnd.LOST:
            self._lower(self._limit // 2)
        if end is SendEnd.SHED:
            self._lower(running)
            self._shed_until = now + _PROBE_SECONDS
        if end is SendEnd.ANSWERED and now > self._shed_until:
            self._raise()

    def _lower(self, limit: int) -> None:
        self._limit = max(min(self._limit, limit), _COLD_LIMIT)
        self._answers = 0

    def _raise(self) -> None:
        self._answers += 1
        if self._answers >= _ANSWERS_PER_STEP:
            self._answers = 0
            self._limit = min(self._limit + 1, self._slots)
