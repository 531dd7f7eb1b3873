"""Metrics of requests at the gateway."""

from carobwalk.metrics._instruments import PIPELINED, REFUSALS
from carobwalk.metrics._metrics import Metrics


class GatewayMeter:
    """Records metrics of requests; implements ``RequestMeter``.

    Args:
        metrics: Metrics of the process.
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
        """Record the duration of a request that ended.

        Args:
            service: Name of the service.
            rank: Rank of the request.
            status: HTTP status of the response.
            seconds: Duration in seconds.
        """
        self._metrics.request_durations.record(
            seconds,
            {'service': service, 'rank': rank, 'status': status},
        )

    def record_refusal(
        self, service: str, cause: str, rank: int | None = None
    ) -> None:
        """Count a request that has not run.

        Args:
            service: Name of the service.
            cause: Cause reported to the caller.
            rank: Rank of the request, ``None`` if it matched no route.
        """
        label = '' if rank is None else str(rank)
        self._metrics.counters[REFUSALS].add(1, service, cause, label)

    def record_pipelined(self, outcome: str) -> None:
        """Count a request that was read ahead of responses.

        Args:
            outcome: What happened to it.
        """
        self._metrics.counters[PIPELINED].add(1, outcome)
