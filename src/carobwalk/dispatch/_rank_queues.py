"""Waiting requests by rank, fair among the callers of each."""

import itertools

from carobwalk.dispatch._caller_queue import CallerQueue
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Rank


class RankQueues:
    """One queue for each rank; base of the policies that know ranks."""

    def __init__(self) -> None:
        self._queues_by_rank = {rank: CallerQueue() for rank in Rank}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues_by_rank.values())

    @property
    def backlogged(self) -> tuple[Rank, ...]:
        """Ranks with waiting requests, most urgent first."""
        return tuple(rank for rank in Rank if self._queues_by_rank[rank])

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._queues_by_rank[ticket.rank].push(ticket)

    def pop_from(self, rank: Rank) -> Ticket:
        """Take out the next request of a rank that has one."""
        return self._queues_by_rank[rank].pop()

    def remove(self, ticket: Ticket) -> None:
        """Take out a request, if it waits here."""
        self._queues_by_rank[ticket.rank].remove(ticket)

    def clear(self) -> tuple[Ticket, ...]:
        """Take out all requests, by rank and in turn by caller."""
        return tuple(
            itertools.chain.from_iterable(
                queue.clear() for queue in self._queues_by_rank.values()
            ),
        )

    def push_out(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Take out what makes room for a new request of its rank."""
        return self._queues_by_rank[ticket.rank].push_out(ticket)
