"""How long a request may wait for room at a backend server."""

from typing import Final

from carobwalk.gateway._caller_request import CallerRequest

_MOST_SHARE: Final = 0.35
_LEAST_SECONDS: Final = 0.03


def longest_wait(
    request: CallerRequest,
    now: float,
    latency: float,
) -> float:
    """Return the longest wait in seconds.

    A request that waits longer than leaves time for an answer within the
    wanted latency makes those behind it late as well: while a server can't
    take all, it serves more in time if some are refused at once.

    Args:
        request: The request.
        now: Present time.
        latency: Latency to expect once it is sent.
    """
    wanted_at = request.arrived + request.route.target_latency
    in_time = wanted_at - now - latency
    most = (request.deadline - now) * _MOST_SHARE
    return min(max(in_time, _LEAST_SECONDS), most)
