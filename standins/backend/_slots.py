"""Concurrency limit and backlog of a backend server."""

import trio

from standins.backend._load_reporter import LoadReport, LoadReporter


class Slots:
    """Limits the running and waiting requests.

    Args:
        count: Requests that may run concurrently.
        backlog: Requests that may wait for a slot.
        load_reporter: Receives each change of the load.
    """

    def __init__(
        self, count: int, backlog: int, load_reporter: LoadReporter
    ) -> None:
        self.draining = False
        self._free = trio.Semaphore(count)
        self._count = count
        self._limit = count + backlog
        self._admitted = 0
        self._reporter = load_reporter

    def try_enter(self) -> bool:
        """Admit a request unless the slots and the backlog are full."""
        if self._admitted >= self._limit:
            return False
        self._admitted += 1
        self.publish()
        return True

    def leave(self) -> None:
        """Record that an admitted request has ended."""
        self._admitted -= 1
        self.publish()

    async def acquire(self) -> None:
        """Wait for a slot."""
        await self._free.acquire()

    def release(self) -> None:
        """Release the slot."""
        self._free.release()

    @property
    def is_empty(self) -> bool:
        """Whether no request is running or waiting."""
        return not self._admitted

    def publish(self) -> None:
        """Pass the current load to the load reporter."""
        running = min(self._admitted, self._count)
        self._reporter.record(
            LoadReport(
                healthy=not self.draining,
                running=running,
                waiting=self._admitted - running,
            ),
        )
