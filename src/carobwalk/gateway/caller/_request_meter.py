"""Interface for metrics of requests."""

import enum
from typing import Protocol


class PipelinedOutcome(enum.StrEnum):
    """What happens to a request that is read ahead of responses."""

    CONCURRENT = 'concurrent'
    WAITING = 'waiting'
    DROPPED = 'dropped'


class RequestMeter(Protocol):
    """Records metrics of requests; its methods do not block."""

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Record a request that ended.

        Args:
            service: Service that the request was routed to.
            rank: Rank of the route, 0 being the most urgent.
            status: HTTP status of the answer, 0 if the caller disconnected.
            seconds: Time from the reading of the head to the end.
        """

    def record_refusal(
        self, service: str, cause: str, rank: int | None = None
    ) -> None:
        """Record a request that was refused and has not run.

        Args:
            service: Service that the request was routed to.
            cause: Cause that the caller was given.
            rank: Rank of the route, ``None`` if it has none.
        """

    def record_pipelined(self, outcome: PipelinedOutcome) -> None:
        """Record a request that was read before those ahead were answered.

        Args:
            outcome: Whether it ran at the same time or had to wait; recorded
                again if it is dropped later.
        """


class NullRequestMeter:
    """Meter that discards all metrics."""

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Drop the figures."""

    def record_refusal(
        self, service: str, cause: str, rank: int | None = None
    ) -> None:
        """Drop the figures."""

    def record_pipelined(self, outcome: PipelinedOutcome) -> None:
        """Drop the figures."""
