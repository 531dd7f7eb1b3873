"""Times in which a router process waited for a processor."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Self

import trio

from soak._event_file import EventFile
from soak._freeze_watch import FREEZE_SECONDS, Freeze, frozen_seconds

# So short that a longer wait in it is a single one.
_INTERVAL_SECONDS: Final = 0.1
_POLL_SECONDS: Final = 0.02
# Time after which a process that is not run counts as hanging.
_MAX_CATCH_UP_SECONDS: Final = 15.0
_SECONDS_PER_NANOSECOND: Final = 1e-9


@dataclass(frozen=True, slots=True)
class SchedulerCounts:
    """What the kernel counts of the main thread of a process.

    Args:
        pid: Id of the process.
        waited_seconds: Time in which it was ready and had no processor.
        runs: How often it was given a processor.
    """

    pid: int
    waited_seconds: float
    runs: int

    @classmethod
    def read(cls, pid: int) -> Self | None:
        """Return the counts of a process, ``None`` if it has ended."""
        try:
            text = Path(f'/proc/{pid}/schedstat').read_text()
        except (FileNotFoundError, ProcessLookupError):
            return None
        _, waited, runs = text.split()
        return cls(pid, int(waited) * _SECONDS_PER_NANOSECOND, int(runs))


class ProcessorWaits:
    """Records the waits of a process that are as long as a freeze.

    The kernel counts a wait at its end.

    Args:
        name: Name of the process.
        read: Returns the counts of its current incarnation, ``None`` for none.
        event_file: Log of the waits.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[], SchedulerCounts | None],
        event_file: EventFile,
    ) -> None:
        self._name = name
        self._read = read
        self._event_file = event_file
        self._counts: SchedulerCounts | None = None
        self._waits: list[Freeze] = []

    async def run(self) -> None:
        """Sample the counts at short intervals until cancelled."""
        while True:
            self._sample()
            await trio.sleep(_INTERVAL_SECONDS)

    def waited_seconds(self, since: float, until: float) -> float:
        """Return the time between two times that was spent in long waits."""
        return frozen_seconds(self._waits, since, until)

    async def catch_up(self) -> None:
        """Wait until a wait that goes on now has ended and is recorded."""
        asked = self._read()
        with trio.move_on_after(_MAX_CATCH_UP_SECONDS):
            while not _has_run_since(asked, self._read()):
                await trio.sleep(_POLL_SECONDS)
        self._sample()

    def _sample(self) -> None:
        before = self._counts
        counts = self._read()
        self._counts = counts
        if before is None or counts is None or before.pid != counts.pid:
            return
        seconds = counts.waited_seconds - before.waited_seconds
        if seconds >= FREEZE_SECONDS:
            now = trio.current_time()
            self._waits.append(Freeze(now - seconds, now))
            self._event_file.write(
                'router-waited', router=self._name, seconds=round(seconds, 3)
            )


def _has_run_since(
    asked: SchedulerCounts | None, latest: SchedulerCounts | None
) -> bool:
    """Return whether a process has run, or ended, since it was asked for."""
    if asked is None or latest is None or asked.pid != latest.pid:
        return True
    return latest.runs > asked.runs
