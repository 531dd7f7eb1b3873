"""How long requests of each rank hold a slot."""

from carobwalk.model import Rank

_WEIGHT = 0.1


class RankDurations:
    """Exponentially weighted means of slot times by rank."""

    def __init__(self) -> None:
        self._means_by_rank: dict[Rank, float] = {}

    def mean(self, rank: Rank) -> float:
        """Return the mean in seconds; 0 while none is known."""
        return self._means_by_rank.get(rank, 0)

    def note(self, rank: Rank, seconds: float) -> None:
        """Take in the slot time of one request."""
        mean = self._means_by_rank.get(rank, seconds)
        self._means_by_rank[rank] = mean + _WEIGHT * (seconds - mean)
