"""Contract of the counts and times of requests."""

from typing import Protocol


class RequestMeter(Protocol):
    """Counts and times requests; never waits."""

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Count a request that ended.

        Args:
            service: Service of its route.
            rank: Urgency, 0 being the most urgent.
            status: HTTP status of the answer, 0 if the caller left.
            seconds: Time from its head to its end.
        """

    def record_refusal(self, service: str, cause: str) -> None:
        """Count a request that has not run.

        Args:
            service: Service of its route.
            cause: What its caller was told.
        """


class NullRequestMeter:
    """Meter that keeps nothing."""

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Drop the figures."""

    def record_refusal(self, service: str, cause: str) -> None:
        """Drop the figures."""
