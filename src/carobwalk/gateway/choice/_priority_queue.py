"""Priority queue of requests that wait for capacity."""

import heapq
from itertools import count

import trio


class PriorityQueue:
    """Queue of waiting requests, ordered by rank and then by arrival.

    When capacity is freed, the most urgent request is woken. It has to check
    for capacity itself and wait again if another request took it first.
    """

    def __init__(self) -> None:
        self._arrival_numbers = count()
        self._heap: list[tuple[int, int, trio.Event]] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._heap)

    async def wait(self, rank: int) -> None:
        """Wait until capacity may be available.

        Args:
            rank: Rank of the request, 0 being the most urgent.
        """
        entry = (rank, next(self._arrival_numbers), trio.Event())
        heapq.heappush(self._heap, entry)
        try:
            await entry[-1].wait()
        except trio.Cancelled:
            if entry[-1].is_set():
                self.wake()  # Pass on the capacity this request cannot use.
            else:
                self._heap.remove(entry)
                heapq.heapify(self._heap)
            raise

    def wake(self) -> None:
        """Wake the most urgent request, if any waits."""
        if self._heap:
            heapq.heappop(self._heap)[-1].set()
