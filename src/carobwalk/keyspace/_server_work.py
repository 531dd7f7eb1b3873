"""Work of a backend server in a window of time."""

from dataclasses import dataclass

from carobwalk.gateway import RequestTotals


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRate:
    """Work of a backend server a second.

    Args:
        ended: Requests that were answered or given up, in all.
        answered: Answers a second.
        in_flight: Mean number of requests in flight.
        latency: Mean time in flight in seconds.
    """

    ended: int
    answered: float
    in_flight: float
    latency: float


def rate_of(work: RequestTotals, length: float) -> WorkRate:
    """Return the work a second.

    Args:
        work: Work in a window, summed over all processes.
        length: Length of the window in seconds.
    """
    ended = work.answers + work.given_up
    return WorkRate(
        ended=ended,
        answered=work.answers / length,
        in_flight=work.seconds / length,
        latency=work.seconds / max(ended, 1),
    )
