"""Hybrid logical clock after Kulkarni et al., 2014."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from carobwalk.events._hybrid_stamp import MICROSECONDS_PER_SECOND, HybridStamp

MAX_DRIFT_SECONDS: Final = 3600

_NANOSECONDS_PER_MICROSECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class ClockDrift:
    """A stamp was ignored because its wall time is too far ahead.

    Args:
        seconds: Lead of the stamp over the local wall clock.
    """

    seconds: float


def _wall_microseconds() -> int:
    return time.time_ns() // _NANOSECONDS_PER_MICROSECOND


class HybridClock:
    """Logical clock whose stamps respect causal order.

    A process adds ``stamp()`` to what it sends and calls ``observe`` with
    the stamp of what it receives. Then every event has a larger stamp than
    the events that caused it, whatever the wall clocks show.

    Args:
        wall: Returns the wall time in microseconds since 1970.
    """

    def __init__(self, wall: Callable[[], int] = _wall_microseconds) -> None:
        self._read_wall = wall
        self._wall = 0
        self._counter = 0

    def stamp(self) -> HybridStamp:
        """Return a stamp larger than all returned or observed so far."""
        now = self._read_wall()
        if now > self._wall:
            self._wall = now
            self._counter = 0
        else:
            self._counter += 1
        return HybridStamp(self._wall, self._counter)

    def observe(self, remote: HybridStamp) -> Result[None, ClockDrift]:
        """Advance the clock to the stamp of a message from another process.

        Returns:
            An error for a stamp more than an hour ahead, which is ignored:
            otherwise one wrong clock would move the clocks of all processes.
        """
        lead = remote.wall - self._read_wall()
        if lead > MAX_DRIFT_SECONDS * MICROSECONDS_PER_SECOND:
            return Err(ClockDrift(lead / MICROSECONDS_PER_SECOND))
        if remote > HybridStamp(self._wall, self._counter):
            self._wall = remote.wall
            self._counter = remote.counter
        return Ok(None)
