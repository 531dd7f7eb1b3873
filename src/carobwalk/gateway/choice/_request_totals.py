"""Totals of the requests that this process sent to a backend server."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestTotals:
    """Totals of the requests that ended since the last report.

    Args:
        answers: Number of requests that were answered.
        given_up: Number of requests that were abandoned without an answer.
        seconds: Total time in flight of both kinds.
        limit: Requests per second that the server accepts, by its last answer;
            ``None`` without a limit.
    """

    answers: int = 0
    given_up: int = 0
    seconds: float = 0
    limit: float | None = None
