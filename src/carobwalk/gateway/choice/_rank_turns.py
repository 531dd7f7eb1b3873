"""Turns of ranks that wait for the same capacity."""

from collections.abc import Collection
from typing import Final

# Of the turns while a lower rank waits, every eighth is its own.
TURNS_PER_LOWER_RANK: Final = 8


class RankTurns:
    """Gives turns to the most urgent rank, and every eighth to each lower one.

    The turns of a rank are counted only while it waits.
    """

    def __init__(self) -> None:
        self._missed_by_rank: dict[int, int] = {}

    def take(self, waiting: Collection[int]) -> int:
        """Return the rank whose turn it is.

        Args:
            waiting: Ranks with waiting requests, at least one.
        """
        missed = {rank: self._missed_by_rank.get(rank, 0) for rank in waiting}
        rank = max(missed, key=lambda each: (missed[each], -each))
        if missed[rank] < TURNS_PER_LOWER_RANK - 1:
            rank = min(waiting)
        self._missed_by_rank = {
            each: count + 1 for each, count in missed.items() if each != rank
        }
        return rank
