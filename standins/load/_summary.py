"""Summary of a load."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from carobwalk.model import Rank
from standins.load._observation import Observation

_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class RankSummary:
    """Figures of the requests of one rank.

    Args:
        sent: Requests that were sent.
        goodput: Complete responses per second.
        p50_ms: Median latency of complete responses, in milliseconds.
        p99_ms: 99th percentile of that latency, in milliseconds.
        told: Requests by the outcome reported to their callers.
        errors: Requests by the kind of failure in their responses.
    """

    sent: int
    goodput: float
    p50_ms: float
    p99_ms: float
    told: dict[str, int]
    errors: dict[str, int]


def summarise(
    observations: Iterable[Observation],
    seconds: float,
) -> dict[Rank, RankSummary]:
    """Return the figures by rank.

    Args:
        observations: Results of the requests.
        seconds: Time during which the requests were sent.
    """
    requests = tuple(observations)
    return {
        rank: _summarise(
            [request for request in requests if request.rank is rank],
            seconds,
        )
        for rank in Rank
    }


def _summarise(requests: list[Observation], seconds: float) -> RankSummary:
    times = sorted(
        request.seconds for request in requests if request.told == 'complete'
    )
    return RankSummary(
        sent=len(requests),
        goodput=len(times) / seconds,
        p50_ms=_quantile(times, 0.5),
        p99_ms=_quantile(times, 0.99),
        told=dict(Counter(request.told for request in requests)),
        errors=dict(
            Counter(request.error for request in requests if request.error)
        ),
    )


def _quantile(times: list[float], fraction: float) -> float:
    """Return a quantile in milliseconds, 0 if there are no times."""
    if not times:
        return 0
    index = int(len(times) * fraction)
    return times[index] * _MILLISECONDS_PER_SECOND
