"""Queue policy: deficit round robin over ranks."""

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._rank_queues import RankQueues
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

# Keeps a rank without a share from starving.
_MIN_SHARE = 0.001


@queue_policies.register('deficit-round-robin')
class DeficitRoundRobin(RankQueues):
    """Starts requests of each rank in proportion to its share.

    The share is measured in requests, not in the time that they hold a slot.

    Args:
        profile: Settings that define the shares.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()
        self._shares_by_rank = {
            rank: max(profile.shares.get(rank, 0), _MIN_SHARE) for rank in Rank
        }
        self._deficits_by_rank: dict[Rank, float] = dict.fromkeys(Rank, 0)

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the next request, if one is waiting."""
        ranks = self.backlogged
        if not ranks:
            return None
        rank = self._next_rank(ranks)
        self._deficits_by_rank[rank] -= 1
        ticket = self.pop_from(rank)
        if rank not in self.backlogged:
            self._deficits_by_rank[rank] = 0
        return ticket

    def finish(self, ticket: Ticket, now: float) -> None:
        """Do nothing: only started requests are counted."""

    def _next_rank(self, ranks: tuple[Rank, ...]) -> Rank:
        rounds = min(self._rounds_until(rank) for rank in ranks)
        for rank in ranks:
            quantum = self._shares_by_rank[rank] * rounds
            self._deficits_by_rank[rank] += quantum
        return max(ranks, key=self._deficits_by_rank.__getitem__)

    def _rounds_until(self, rank: Rank) -> float:
        missing = max(1 - self._deficits_by_rank[rank], 0)
        return missing / self._shares_by_rank[rank]
