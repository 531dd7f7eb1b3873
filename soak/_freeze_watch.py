"""Freezes of the soak's own process, which stop the store and all servers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.keyspace import KeyTimes
from soak._event_file import EventFile

_INTERVAL_SECONDS: Final = 0.02
_REPORTED_DELAY_SECONDS: Final = 0.1
# Delay from which routers miss answers: the timeout of their orders.
FREEZE_SECONDS: Final = KeyTimes().order_timeout


@dataclass(frozen=True, slots=True)
class Freeze:
    """Time during which the soak's process did not run.

    Args:
        began_at: Time of the event loop at which it was due to run.
        ended_at: Time of the event loop at which it ran.
    """

    began_at: float
    ended_at: float

    def overlap(self, start: float, end: float) -> float:
        """Return the seconds of the freeze between two times."""
        return max(min(end, self.ended_at) - max(start, self.began_at), 0)

    def __str__(self) -> str:
        """Return a description for reports."""
        seconds = self.ended_at - self.began_at
        return f'{seconds:.2f} s until {self.ended_at:.3f}'


def frozen_seconds(
    freezes: Iterable[Freeze], since: float, until: float
) -> float:
    """Return the time between two times that freezes took, in seconds."""
    return sum(freeze.overlap(since, until) for freeze in freezes)


class FreezeWatch:
    """Measures the delays of this process and records the freezes.

    ``checked_at`` is the time of the event loop until which they are known.

    Args:
        event_file: Log of the delays.
    """

    def __init__(self, event_file: EventFile) -> None:
        self.freezes: list[Freeze] = []
        self.checked_at = -math.inf
        self._event_file = event_file

    async def run(self) -> None:
        """Measure at short intervals until cancelled."""
        while True:
            due = trio.current_time() + _INTERVAL_SECONDS
            await trio.sleep_until(due)
            self.checked_at = trio.current_time()
            self._record(Freeze(due, self.checked_at))

    def run_seconds(self, since: float, until: float) -> float:
        """Return how long this process ran between two times."""
        return until - since - frozen_seconds(self.freezes, since, until)

    async def catch_up(self) -> None:
        """Wait until the delays up to now are known."""
        now = trio.current_time()
        while self.checked_at < now:
            await trio.sleep(_INTERVAL_SECONDS)

    def _record(self, delay: Freeze) -> None:
        seconds = delay.ended_at - delay.began_at
        if seconds >= FREEZE_SECONDS:
            self.freezes.append(delay)
            self._event_file.write('soak-freeze', seconds=round(seconds, 3))
        elif seconds > _REPORTED_DELAY_SECONDS:
            self._event_file.write('soak-delayed', seconds=round(seconds, 3))
