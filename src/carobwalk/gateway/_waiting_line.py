"""Requests that wait for room at backend servers."""

import heapq
from itertools import count

import trio


class WaitingLine:
    """Requests by rank, then by arrival.

    The most urgent one is woken when room appears; it looks for room itself
    and joins the line again if another one was faster.
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._heap: list[tuple[int, int, trio.Event]] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._heap)

    async def wait(self, rank: int) -> None:
        """Wait until room may have appeared.

        Args:
            rank: Urgency, 0 being the most urgent.
        """
        entry = (rank, next(self._numbers), trio.Event())
        heapq.heappush(self._heap, entry)
        try:
            await entry[-1].wait()
        except trio.Cancelled:
            if entry[-1].is_set():
                self.wake()  # Room that this request can't use any more.
            else:
                self._heap.remove(entry)
                heapq.heapify(self._heap)
            raise

    def wake(self) -> None:
        """Wake the most urgent request."""
        if self._heap:
            heapq.heappop(self._heap)[-1].set()
