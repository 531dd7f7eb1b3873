"""Crashes of backend servers by the requests that they ran."""

from collections import defaultdict
from typing import Final

from carobwalk.keyspace._key_range import ServerLife
from carobwalk.model import Clock

# Other requests run beside the culprit, but rarely in three crashes.
_CRASHES: Final = 3
_MEMORY_SECONDS: Final = 60.0


class CrashCounts:
    """Lives that ended while they ran a request, over all processes.

    Args:
        clock: Clock of the memory.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_by_fingerprint: dict[int, dict[ServerLife, float]] = (
            defaultdict(dict)
        )

    def add(self, fingerprint: int, life: ServerLife) -> None:
        """Take in that a life ended while it ran a request."""
        self._ends_by_fingerprint[fingerprint][life] = self._clock.now()

    def culprits(self) -> tuple[int, ...]:
        """Return the requests that crash servers."""
        self._forget_old()
        return tuple(
            fingerprint
            for fingerprint, ends in self._ends_by_fingerprint.items()
            if len(ends) >= _CRASHES
        )

    def _forget_old(self) -> None:
        limit = self._clock.now() - _MEMORY_SECONDS
        for fingerprint, ends in tuple(self._ends_by_fingerprint.items()):
            if max(ends.values()) < limit:
                self._ends_by_fingerprint.pop(fingerprint)
