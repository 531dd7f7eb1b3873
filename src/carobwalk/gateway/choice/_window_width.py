"""Width of the window with which a share of all requests is admitted.

Callers whose turn comes soon return and are admitted, besides those that ask
during their turn. The window is therefore narrower than the share.
"""

import math
from bisect import bisect_left
from functools import lru_cache
from itertools import accumulate
from typing import Final

from carobwalk.gateway.choice._turn_ring import STEP_SECONDS, TurnRing

# Callers wait for up to this part of the time that they have left.
RETURN_PART: Final = 1 / 3
# Places, moments of a step and widths for which the model is computed.
# Part of a step after whose begin callers return on average.
_MEAN_PART: Final = 0.5
_MIN_PLACES: Final = 128
_PLACES_IN_WINDOW: Final = 12
_MOMENTS: Final = (0.125, 0.375, 0.625, 0.875)
_WIDTH_COUNT: Final = 32
_WIDTH_RATIO: Final = 1.15
_WIDTHS: Final = tuple(
    _WIDTH_RATIO ** (number + 1 - _WIDTH_COUNT)
    for number in range(_WIDTH_COUNT)
)
_MAX_STEPS: Final = 40


def window_width(share: float, seconds_left: float) -> float:
    """Return the width of the window for a share of all requests.

    Args:
        share: Part of the requests, first ones and returns, to admit.
        seconds_left: Usual time from a first request to its deadline.
    """
    steps = min(seconds_left * RETURN_PART / STEP_SECONDS, _MAX_STEPS)
    shares = _admitted_shares(round(steps, 1))
    above = bisect_left(shares, share)
    if above == 0:
        return _WIDTHS[0] * share / shares[0]
    if above == len(shares):
        return 1
    low, high = _WIDTHS[above - 1], _WIDTHS[above]
    least, most = shares[above - 1], shares[above]
    return low + (high - low) * (share - least) / (most - least)


@lru_cache
def _admitted_shares(steps: float) -> tuple[float, ...]:
    """Return the share that is admitted with each of the widths.

    Args:
        steps: Longest time, in steps, after which refused callers return. A
            caller whose turn comes later returns then, and before its turn.
    """
    shares = (_admitted_share(width, steps) for width in _WIDTHS)
    return tuple(accumulate(shares, max))


def _admitted_share(width: float, steps: float) -> float:
    places = max(_MIN_PLACES, math.ceil(_PLACES_IN_WINDOW / width))
    now = TurnRing(0, width)
    refused = 0
    returned: float = 0
    for number in range(places):
        place = (number + _MEAN_PART) / places
        if now.has_turn(place):
            continue
        refused += 1
        turn = now.steps_to_turn(place, math.ceil(steps) + 1)
        returned += _returned_part(place, width, turn, steps)
    admitted = places - refused + returned
    return admitted / (places + refused)


def _returned_part(
    place: float, width: float, turn: int, steps: float
) -> float:
    """Return the part of the refused callers that are admitted later.

    Args:
        place: Place of the callers on the ring, not in the window in step 0.
        width: Width of the window.
        turn: Number of the step that they are told to return in.
        steps: Longest time after which they return.
    """
    admitted = 0
    for moment in _MOMENTS:
        returns_after = min(turn + _MEAN_PART - moment, steps)
        ring = TurnRing(math.floor(moment + returns_after), width)
        admitted += ring.has_turn(place)
    return admitted / len(_MOMENTS)
