"""Queue policy by deficit round robin over requests."""

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._rank_queues import RankQueues
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

# A rank without a share still has its turn once in a while.
_LEAST_SHARE = 0.001


@queue_policies.register('deficit-round-robin')
class DeficitRoundRobin(RankQueues):
    """Starts requests of the ranks in proportion to their shares.

    It counts requests, not the time that they hold a slot.

    Args:
        profile: Settings that give the shares.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()
        self._shares_by_rank = {
            rank: max(profile.shares.get(rank, 0), _LEAST_SHARE)
            for rank in Rank
        }
        self._deficits_by_rank: dict[Rank, float] = dict.fromkeys(Rank, 0)

    def pop(self, now: float) -> Ticket | None:
        """Take out a request of the rank whose turn it is."""
        ranks = self.backlogged
        if not ranks:
            return None
        rank = self._next(ranks)
        self._deficits_by_rank[rank] -= 1
        ticket = self.pop_from(rank)
        if rank not in self.backlogged:
            self._deficits_by_rank[rank] = 0
        return ticket

    def finish(self, ticket: Ticket, now: float) -> None:
        """Do nothing: only starts are counted."""

    def _next(self, ranks: tuple[Rank, ...]) -> Rank:
        rounds = min(self._rounds_until(rank) for rank in ranks)
        for rank in ranks:
            quantum = self._shares_by_rank[rank] * rounds
            self._deficits_by_rank[rank] += quantum
        return max(ranks, key=self._deficits_by_rank.__getitem__)

    def _rounds_until(self, rank: Rank) -> float:
        missing = max(1 - self._deficits_by_rank[rank], 0)
        return missing / self._shares_by_rank[rank]
