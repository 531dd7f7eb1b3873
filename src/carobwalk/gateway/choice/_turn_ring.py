"""Turns of requests for a server that can run a part of them only."""

from typing import Final

_RING_SIZE: Final = 1.0
# Length of the steps in which the window rotates.
STEP_SECONDS: Final = 0.25
# The window advances by this part of the ring, the golden section. Its places
# are then spread evenly whatever its width, and don't depend on the width: a
# turn stays where it was told when the share changes.
_ADVANCE: Final = 0.6180339887498949
# Part of the window in which turns are told. The share that is in force at a
# turn may be somewhat less than when it was told.
_TOLD_PART: Final = 0.8
# Later turns than after this number of steps are of no use to callers: it is a
# third of a minute, and they wait for a third of the time that they have left.
_MAX_STEPS: Final = 80


class TurnRing:
    """Ring with a window that rotates; places in the window have their turn.

    Args:
        step: Number of the current step, the same in all processes.
        width: Width of the window as a part of the ring.
    """

    def __init__(self, step: int, width: float) -> None:
        self._step = step
        self._width = width

    def has_turn(self, place: float) -> bool:
        """Return whether a place is in the window now."""
        return self._width >= 1 or self._offset(place, 0) < self._width

    def steps_to_turn(self, place: float, most: int = _MAX_STEPS) -> int:
        """Return after how many steps a place is in the window again.

        Args:
            place: Place on the ring, from 0 up to 1; not in the window now.
            most: Number of steps to look ahead.

        Returns:
            The number, that to look ahead if there is no turn before.
        """
        told_width = self._width * _TOLD_PART
        turns = (
            steps
            for steps in range(1, most)
            if self._offset(place, steps) < told_width
        )
        return next(turns, most)

    def _offset(self, place: float, steps: int) -> float:
        """Return how far a place is behind the start of a later window."""
        return (place - (self._step + steps) * _ADVANCE) % _RING_SIZE
