"""Limit on the time a request is queued for a backend server."""

from typing import Final

from carobwalk.gateway._caller_request import CallerRequest

# Fraction of the time to the deadline that a request may be queued.
_MAX_WAIT_SHARE: Final = 0.35
_MIN_WAIT_SECONDS: Final = 0.03


def max_queue_wait(
    request: CallerRequest,
    now: float,
    latency: float,
) -> float:
    """Return the longest time in seconds that a request may be queued.

    A request that is queued for so long that its answer misses the target
    latency makes those behind it late as well. An overloaded server answers
    more requests in time if the others are refused at once.

    Args:
        request: The request.
        now: Current time in seconds.
        latency: Expected latency in seconds once the request is sent.
    """
    target_at = request.arrived + request.route.target_latency
    on_time_wait = target_at - now - latency
    max_wait = (request.deadline - now) * _MAX_WAIT_SHARE
    return min(max(on_time_wait, _MIN_WAIT_SECONDS), max_wait)
