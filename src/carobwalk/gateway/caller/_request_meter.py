"""Interface for metrics of requests."""

from typing import Protocol


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
