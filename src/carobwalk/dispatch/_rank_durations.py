"""Mean time for which requests of each rank hold a slot."""

from carobwalk.model import Rank

_SMOOTHING_WEIGHT = 0.1


class RankDurations:
    """Exponentially weighted moving averages of slot times by rank."""

    def __init__(self) -> None:
        self._means_by_rank: dict[Rank, float] = {}

    def mean(self, rank: Rank) -> float:
        """Return the mean slot time in seconds; 0 before the first request."""
        return self._means_by_rank.get(rank, 0)

    def record(self, rank: Rank, seconds: float) -> None:
        """Add the slot time of one request, in seconds."""
        mean = self._means_by_rank.get(rank, seconds)
        self._means_by_rank[rank] = mean + _SMOOTHING_WEIGHT * (seconds - mean)
