"""Counts and times of requests at the gateway."""

from carobwalk.metrics._instruments import REFUSALS
from carobwalk.metrics._metrics import Metrics


class GatewayMeter:
    """Records requests; a ``RequestMeter``.

    Args:
        metrics: Counts and times of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(
        self,
        service: str,
        rank: int,
        status: int,
        seconds: float,
    ) -> None:
        """Count a request that ended."""
        self._metrics.latencies.record(
            seconds,
            {'service': service, 'rank': rank, 'status': status},
        )

    def record_refusal(self, service: str, cause: str) -> None:
        """Count a request that has not run."""
        self._metrics.tallies[REFUSALS].add(1, service, cause)
