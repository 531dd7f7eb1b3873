"""Waiting requests by rank, with fairness among callers."""

import itertools

from carobwalk.dispatch._ticket import Ticket
from carobwalk.fairness import CallerQueue
from carobwalk.model import Rank


class RankQueues:
    """One queue per rank; base class of rank-aware queue policies."""

    def __init__(self) -> None:
        self._queues_by_rank: dict[Rank, CallerQueue[Ticket]] = {
            rank: CallerQueue() for rank in Rank
        }

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues_by_rank.values())

    @property
    def backlogged(self) -> tuple[Rank, ...]:
        """Ranks with waiting requests, most urgent first."""
        return tuple(rank for rank in Rank if self._queues_by_rank[rank])

    def push(self, ticket: Ticket) -> None:
        """Queue a request."""
        self._queues_by_rank[ticket.rank].push(ticket)

    def pop_from(self, rank: Rank) -> Ticket:
        """Remove and return the next request of a backlogged rank."""
        return self._queues_by_rank[rank].pop()

    def remove(self, ticket: Ticket) -> None:
        """Remove a request, if it is queued."""
        self._queues_by_rank[ticket.rank].remove(ticket)

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all requests, by rank and round robin by caller."""
        return tuple(
            itertools.chain.from_iterable(
                queue.clear() for queue in self._queues_by_rank.values()
            ),
        )

    def evict(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Evict a request of the same rank in favour of a new one."""
        return self._queues_by_rank[ticket.rank].evict(ticket)
