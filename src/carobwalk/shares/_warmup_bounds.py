"""Requests that a cold server may get from all processes together."""

import math
from dataclasses import dataclass
from typing import Final

# Share of the stated rate that is used on average.
_USED_RATIO: Final = 0.9
# Standard deviations of a Poisson process between its mean and the bound. The
# defaults leave 5.6, so only tighter bounds reduce the allowance.
_BOUND_DEVIATIONS: Final = 5.0


@dataclass(frozen=True, slots=True)
class WarmupBounds:
    """Bound on the requests that a cold server gets in any one second.

    Args:
        overshoot: Multiple of the stated rate.
        slack: Requests in addition.
    """

    overshoot: float
    slack: float

    def allowance(self, rate: float) -> float:
        """Return the mean requests per second that a cold server may get.

        Args:
            rate: Requests per second that the configuration states for it.
        """
        bound = rate * self.overshoot + self.slack
        # Solves mean + deviations * sqrt(mean) = bound.
        root = math.sqrt(_BOUND_DEVIATIONS**2 + 4 * bound) - _BOUND_DEVIATIONS
        return min(rate * _USED_RATIO, (root / 2) ** 2)
