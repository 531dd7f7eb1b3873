"""Work that one process saw of a backend server."""

from dataclasses import dataclass


@dataclass(slots=True)
class CountedWork:
    """Requests that ended since the last report.

    Args:
        answers: Number of answers.
        given_up: Number of requests that were given up without an answer.
        seconds: Sum of the times that all of them were in flight.
    """

    answers: int = 0
    given_up: int = 0
    seconds: float = 0
