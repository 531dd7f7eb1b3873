"""Counts and times of requests at the gateway."""

from opentelemetry.metrics import Histogram


class GatewayMeter:
    """Records requests; a ``RequestMeter``.

    Args:
        latencies: Histogram of the times of requests in seconds.
    """

    def __init__(self, latencies: Histogram) -> None:
        self._latencies = latencies

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Count a request that ended."""
        self._latencies.record(
            seconds,
            {'service': service, 'rank': rank, 'status': status},
        )
