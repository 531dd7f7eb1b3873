"""Steps of time that all processes count alike."""

import math
from typing import Final

# The estimate falls by this at most with each receipt; clocks drift by less.
_MAX_FALL_SECONDS: Final = 0.001
# A difference from which the phase comes from another coordinator's clock.
_OTHER_CLOCK_SECONDS: Final = 0.5


class SharedSteps:
    """Estimates the coordinator's clock from the phases that it tells.

    Each phase is late by the time that its message took. The greatest
    estimate is that of the fastest message and so the closest one.

    Args:
        length: Length of a step in seconds.
    """

    def __init__(self, length: float) -> None:
        self._length = length
        self._offset: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether a phase was ever told."""
        return self._offset is not None

    def apply(self, phase: float, now: float) -> None:
        """Apply a phase that was received now.

        Args:
            phase: Time on the coordinator's clock, 0 if it doesn't tell it.
            now: Current time on the local clock.
        """
        if not phase:
            return
        told = phase - now
        known = told if self._offset is None else self._offset
        if abs(told - known) > _OTHER_CLOCK_SECONDS:
            known = told
        self._offset = max(told, known - _MAX_FALL_SECONDS)

    def at(self, now: float) -> tuple[int, float]:
        """Return the number of the current step, and the seconds since then.

        Args:
            now: Current time on the local clock.
        """
        shared = now + (self._offset or 0)
        step = math.floor(shared / self._length)
        return step, shared - step * self._length
