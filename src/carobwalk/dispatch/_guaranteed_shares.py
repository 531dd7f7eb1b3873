"""Queue policy: a guaranteed share of slot time for each rank."""

import itertools

from carobwalk.dispatch._queue_policy import queue_policies
from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._rank_queues import RankQueues
from carobwalk.dispatch._share_account import ShareAccount
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank
from carobwalk.profiles import Profile

_WINDOW_SECONDS = 0.5
_STARVATION_SECONDS = 0.25
_MIN_USAGE_SLOTS = 0.01


@queue_policies.register('guaranteed-shares')
class GuaranteedShares(RankQueues):
    """Serves ranks below their share first, then the others by urgency.

    Among several ranks below their share the most urgent is served first,
    unless one has been starved for too long.

    A rank of long requests that exceeds its share leaves as many slots free
    as the more urgent ranks recently used, up to half of all slots: a slot
    held by a long request is released too late for a short one.

    Args:
        profile: Settings that define the shares and the slots.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()
        self._slots = profile.slots
        self._max_reserved_slots = max(1, profile.slots // 2)
        self._durations = RankDurations()
        self._accounts_by_rank = {
            rank: ShareAccount(
                profile.shares.get(rank, 0) * profile.slots,
                _WINDOW_SECONDS,
            )
            for rank in Rank
        }

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the next request, if one may start."""
        rank = self._next_rank(now)
        if rank is None:
            return None
        self._accounts_by_rank[rank].start(now)
        return self.pop_from(rank)

    def finish(self, ticket: Ticket, now: float) -> None:
        """Stop charging slot time to the rank and record its duration."""
        self._accounts_by_rank[ticket.rank].finish(now)
        self._durations.record(ticket.rank, ticket.held_seconds(now))

    def _next_rank(self, now: float) -> Rank | None:
        ranks = self.backlogged
        for idle in set(Rank).difference(ranks):
            self._accounts_by_rank[idle].mark_idle(now)
        owed_rank = self._find_owed_rank(ranks, now)
        if owed_rank is not None:
            return owed_rank
        for rank in ranks:
            if self._may_exceed_share(rank, now):
                return rank
        return None

    def _find_owed_rank(
        self, ranks: tuple[Rank, ...], now: float
    ) -> Rank | None:
        """Return the starved or else the most urgent rank below its share."""
        owed_by_rank = {
            rank: self._accounts_by_rank[rank].owed_seconds(now)
            for rank in ranks
        }
        most_owed = max(ranks, key=owed_by_rank.__getitem__, default=None)
        if most_owed is None or owed_by_rank[most_owed] > _STARVATION_SECONDS:
            return most_owed
        owed_ranks = (rank for rank in ranks if owed_by_rank[rank] > 0)
        return next(owed_ranks, None)

    def _may_exceed_share(self, rank: Rank, now: float) -> bool:
        running = self._accounts_by_rank[rank].running
        return running < self._slots - self._reserved_slots(rank, now)

    def _reserved_slots(self, rank: Rank, now: float) -> int:
        """Return the slots that a rank leaves free for more urgent ones."""
        urgent = tuple(itertools.takewhile(rank.__ne__, Rank))
        usage = sum(self._accounts_by_rank[each].usage(now) for each in urgent)
        if usage < _MIN_USAGE_SLOTS or not self._would_delay(rank, urgent):
            return 0
        return min(max(1, round(usage)), self._max_reserved_slots)

    def _would_delay(self, rank: Rank, urgent: tuple[Rank, ...]) -> bool:
        """Return whether waiting for the rank takes longer than urgent work.

        Args:
            rank: Rank that would exceed its share.
            urgent: Ranks that are more urgent.
        """
        wait = self._durations.mean(rank) / self._slots
        return any(wait > self._durations.mean(each) for each in urgent)
