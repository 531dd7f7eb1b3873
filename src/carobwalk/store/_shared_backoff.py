"""Backoff that the tasks of a process share."""

import random
from typing import Final

import trio

_INITIAL_SECONDS: Final = 0.1
_FACTOR: Final = 1.5
_JITTER_RANGE: Final = (0.5, 1.5)


class SharedBackoff:
    """Lets tasks whose calls fail take turns.

    One of them calls again after each backoff, and all go on when a call has
    succeeded.
    """

    def __init__(self) -> None:
        self._seconds = _INITIAL_SECONDS
        self._is_failing = False
        self._recovered = trio.Event()
        self._turn = trio.Lock()

    def record_success(self) -> None:
        """Record a successful call, which ends the backoff of all tasks."""
        self._seconds = _INITIAL_SECONDS
        self._is_failing = False
        self._recovered.set()

    async def wait(self, longest: float) -> None:
        """Wait after a failed call until it is the turn of this task.

        Args:
            longest: Longest backoff in seconds, before jitter.
        """
        if not self._is_failing:
            self._is_failing = True
            self._recovered = trio.Event()
        async with self._turn:
            if not self._is_failing:
                return
            # Jitter prevents synchronised retries of all processes.
            seconds = self._seconds * random.uniform(*_JITTER_RANGE)
            self._seconds = min(self._seconds * _FACTOR, longest)
            with trio.move_on_after(seconds):
                await self._recovered.wait()
