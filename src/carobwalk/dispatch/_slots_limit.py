"""Concurrency limit based on the configured number of slots."""

import math

from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.profiles import Profile

_MIN_LIMIT = 1
_SUCCESSES_PER_STEP = 4
_PROBE_SECONDS = 1


@limit_policies.register('slots')
class SlotsLimit:
    """Raises the limit from one slot up to the number in the profile.

    A server starts cold, with one slot; every few responses add one, and a
    lost request halves the limit. When a server sheds load, the limit drops
    to the requests it was running and only rises again after a pause.

    Args:
        profile: Settings that define the number of slots.
    """

    def __init__(self, profile: Profile) -> None:
        self._slots = profile.slots
        self._limit = min(_MIN_LIMIT, self._slots)
        self._successes = 0
        self._no_raise_until = -math.inf

    def apply(self, profile: Profile) -> None:
        """Apply a changed number of slots."""
        self._slots = profile.slots
        self._limit = min(self._limit, self._slots)

    def may_start(self, running: int, now: float) -> bool:
        """Return whether a slot is free."""
        return running < self._limit

    def wait(self, now: float) -> float:
        """Return infinity: only a finished request frees a slot."""
        return math.inf

    def started(self, now: float) -> None:
        """Do nothing: the caller counts the running requests."""

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Raise the limit after responses, lower it on shedding or loss."""
        if end is SendEnd.LOST:
            self._lower(self._limit // 2)
        if end is SendEnd.SHED:
            self._lower(running)
            self._no_raise_until = now + _PROBE_SECONDS
        if end is SendEnd.ANSWERED and now > self._no_raise_until:
            self._raise()

    def _lower(self, limit: int) -> None:
        self._limit = max(min(self._limit, limit), _MIN_LIMIT)
        self._successes = 0

    def _raise(self) -> None:
        self._successes += 1
        if self._successes >= _SUCCESSES_PER_STEP:
            self._successes = 0
            self._limit = min(self._limit + 1, self._slots)
