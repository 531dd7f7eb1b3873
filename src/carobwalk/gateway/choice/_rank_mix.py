"""Division of an admitted share among ranks."""

from typing import Final

# Requests over which the mix of ranks is averaged. Processes that see other
# requests should still arrive at about the same windows.
_AVERAGED_REQUESTS: Final = 200
# Advantage of a rank over the next lower one.
_ADVANTAGE: Final = 2.0


class RankMix:
    """Ranks of recent requests, and the share of each that is admitted."""

    def __init__(self) -> None:
        self._counts_by_rank: dict[int, float] = {}

    def count(self, rank: int) -> None:
        """Count a request."""
        fading = 1 - 1 / _AVERAGED_REQUESTS
        for known in self._counts_by_rank:
            self._counts_by_rank[known] *= fading
        self._counts_by_rank[rank] = self._counts_by_rank.get(rank, 0) + 1

    def share_of(self, rank: int, share: float) -> float:
        """Return the share of a rank's requests to admit.

        It is twice that of the next lower rank where the more urgent one isn't
        admitted completely, so that the lowest rank always has a part. The
        shares of all ranks together give the one told.

        Args:
            rank: The rank, which was counted before.
            share: Share of the requests of all ranks to admit.
        """
        weights = self._weights()
        total = sum(self._counts_by_rank.values())
        left = total * share
        for known in sorted(weights):
            # A rank that is admitted completely leaves the rest to the others.
            weighted = sum(
                self._counts_by_rank[each] * weight
                for each, weight in weights.items()
                if each >= known
            )
            part = min(left * weights[known] / weighted, 1)
            if known == rank:
                return part
            left -= part * self._counts_by_rank[known]
        return share

    def _weights(self) -> dict[int, float]:
        ranks = sorted(self._counts_by_rank)
        return {rank: _ADVANTAGE**-number for number, rank in enumerate(ranks)}
