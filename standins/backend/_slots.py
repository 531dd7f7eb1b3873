"""Slots of a backend server."""

import trio

from standins.backend._load_board import LoadBoard, LoadReport


class Slots:
    """Limits the requests that run and that wait.

    Args:
        count: Requests that run at once.
        backlog: Requests that may wait.
        board: Receives each change.
    """

    def __init__(self, count: int, backlog: int, board: LoadBoard) -> None:
        self.draining = False
        self._free = trio.Semaphore(count)
        self._count = count
        self._limit = count + backlog
        self._taken = 0
        self._board = board

    def enter(self) -> bool:
        """Take a place among the running and waiting requests, if free."""
        if self._taken >= self._limit:
            return False
        self._taken += 1
        self.publish()
        return True

    def leave(self) -> None:
        """Give the place back."""
        self._taken -= 1
        self.publish()

    async def acquire(self) -> None:
        """Wait for a slot."""
        await self._free.acquire()

    def release(self) -> None:
        """Give the slot back."""
        self._free.release()

    @property
    def is_empty(self) -> bool:
        """Whether no request runs or waits."""
        return not self._taken

    def publish(self) -> None:
        """Show the state on the board."""
        running = min(self._taken, self._count)
        self._board.put(
            LoadReport(
                healthy=not self.draining,
                running=running,
                waiting=self._taken - running,
            ),
        )
