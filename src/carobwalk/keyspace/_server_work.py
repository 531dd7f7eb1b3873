"""Rates of a backend server's work in a measurement window."""

from dataclasses import dataclass

from carobwalk.gateway import RequestTotals


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRate:
    """Work of a backend server, averaged over a measurement window.

    Args:
        ended: Number of requests that were answered or abandoned.
        answers_per_second: Answered requests per second.
        in_flight: Mean number of requests in flight.
        latency: Mean time in flight in seconds.
    """

    ended: int
    answers_per_second: float
    in_flight: float
    latency: float


def rate_of(work: RequestTotals, length: float) -> WorkRate:
    """Return the average rates for the work in a window.

    Args:
        work: Work in the window, summed over all processes.
        length: Length of the window in seconds.
    """
    ended = work.answers + work.given_up
    return WorkRate(
        ended=ended,
        answers_per_second=work.answers / length,
        in_flight=work.seconds / length,
        latency=work.seconds / max(ended, 1),
    )
