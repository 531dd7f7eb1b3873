"""Figures of a load."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from carobwalk.model import Rank
from standins.load._observation import Observation

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class RankSummary:
    """Figures of one rank.

    Args:
        sent: Requests that were sent.
        goodput: Complete answers per second.
        p50_ms: Median time of a complete answer.
        p99_ms: Time within which 99 of 100 complete answers came.
        told: Requests by the outcome that their callers were told.
        errors: Requests by the kind of failure in their answers.
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
        observations: What callers saw.
        seconds: Time in which the requests were made.
    """
    seen = tuple(observations)
    return {
        rank: _summarise(
            [item for item in seen if item.rank is rank],
            seconds,
        )
        for rank in Rank
    }


def _summarise(seen: list[Observation], seconds: float) -> RankSummary:
    times = sorted(item.seconds for item in seen if item.told == 'complete')
    return RankSummary(
        sent=len(seen),
        goodput=len(times) / seconds,
        p50_ms=_quantile(times, 0.5),
        p99_ms=_quantile(times, 0.99),
        told=dict(Counter(item.told for item in seen)),
        errors=dict(Counter(item.error for item in seen if item.error)),
    )


def _quantile(times: list[float], share: float) -> float:
    """Return a quantile in milliseconds, 0 without times."""
    if not times:
        return 0
    place = int(len(times) * share)
    return times[place] * _MILLISECONDS
