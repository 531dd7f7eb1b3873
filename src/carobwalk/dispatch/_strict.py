"""Queue policy: strict priority by rank."""

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._rank_queues import RankQueues
from carobwalk.dispatch._ticket import Ticket
from carobwalk.profiles import Profile


@queue_policies.register('strict')
class Strict(RankQueues):
    """Starts the most urgent request first; other ranks may starve.

    Args:
        profile: Settings; none is used.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the most urgent request, if one is waiting."""
        ranks = self.backlogged
        return self.pop_from(ranks[0]) if ranks else None

    def finish(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on running requests."""
