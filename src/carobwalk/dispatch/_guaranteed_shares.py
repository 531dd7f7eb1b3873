"""Queue policy with a guaranteed share of slot time for each rank."""

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._rank_queues import RankQueues
from carobwalk.dispatch._share_account import ShareAccount
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

_WINDOW_SECONDS = 0.5


@queue_policies.register('guaranteed-shares')
class GuaranteedShares(RankQueues):
    """Serves ranks below their share first, and the rest by urgency.

    Args:
        profile: Settings that give the shares and the slots.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()
        self._accounts_by_rank = {
            rank: ShareAccount(
                profile.shares.get(rank, 0) * profile.slots,
                _WINDOW_SECONDS,
            )
            for rank in Rank
        }

    def pop(self, now: float) -> Ticket | None:
        """Take out a request of the most urgent rank that is owed time."""
        ranks = self.backlogged
        if not ranks:
            return None
        accounts = self._accounts_by_rank
        owed = (rank for rank in ranks if accounts[rank].is_owed(now))
        rank = next(owed, ranks[0])
        accounts[rank].start(now)
        return self.pop_from(rank)

    def finish(self, ticket: Ticket, now: float) -> None:
        """Charge the slot time to the rank."""
        self._accounts_by_rank[ticket.rank].finish(now)
