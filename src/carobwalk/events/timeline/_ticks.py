"""Round times along an axis."""

import math
from typing import Final

_FEWEST_TICKS: Final = 5
_ROUND_STEPS: Final = (5, 2, 1)


def ticks_of(duration: float) -> list[float]:
    """Return 6 to 13 round times from 0 to a duration above 0."""
    power = 10 ** math.floor(math.log10(duration))
    steps = (power * factor for factor in _ROUND_STEPS)
    fine = (power / 10 * factor for factor in _ROUND_STEPS)
    for step in (*steps, *fine):
        count = math.floor(duration / step)
        if count >= _FEWEST_TICKS:
            return [step * number for number in range(count + 1)]
    return [0]


def format_tick(seconds: float) -> str:
    """Return a time with the digits that it needs."""
    return f'+{seconds:.9g} s'
