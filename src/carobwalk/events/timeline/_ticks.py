"""Ticks of a time axis."""

import math
from typing import Final

_MIN_INTERVALS: Final = 5
_ROUND_STEPS: Final = (5, 2, 1)


def ticks_of(duration: float) -> list[float]:
    """Return 6 to 13 round times in seconds, from 0 to at most a duration.

    Args:
        duration: Length of the axis in seconds, above 0.
    """
    power = 10 ** math.floor(math.log10(duration))
    steps = (power * factor for factor in _ROUND_STEPS)
    finer_steps = (power / 10 * factor for factor in _ROUND_STEPS)
    for step in (*steps, *finer_steps):
        count = math.floor(duration / step)
        if count >= _MIN_INTERVALS:
            return [step * number for number in range(count + 1)]
    return [0]


def format_tick(seconds: float) -> str:
    """Format the time of a tick with as many digits as needed."""
    return f'+{seconds:.9g} s'
