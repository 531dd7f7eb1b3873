"""Hybrid logical clock after Kulkarni et al., 2014."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from carobwalk.events._hybrid_stamp import MICROSECONDS, HybridStamp

MAX_DRIFT_SECONDS: Final = 3600

_NANOSECONDS: Final = 1000


@dataclass(frozen=True, slots=True)
class ClockDrift:
    """A stamp was ignored, since its wall time is too far ahead.

    Args:
        seconds: How far it is ahead of the wall clock here.
    """

    seconds: float


def _wall_microseconds() -> int:
    return time.time_ns() // _NANOSECONDS


class HybridClock:
    """Clock whose readings respect the order of cause and effect.

    A process adds ``stamp()`` to what it sends and calls ``observe`` with
    the stamp of what it receives. Then every event that follows from another
    one has the larger stamp, whatever the wall clocks of the hosts say.

    Args:
        wall: Reads the wall clock in microseconds since 1970.
    """

    def __init__(self, wall: Callable[[], int] = _wall_microseconds) -> None:
        self._read_wall = wall
        self._wall = 0
        self._counter = 0

    def stamp(self) -> HybridStamp:
        """Return a stamp larger than all returned or observed before."""
        now = self._read_wall()
        if now > self._wall:
            self._wall = now
            self._counter = 0
        else:
            self._counter += 1
        return HybridStamp(self._wall, self._counter)

    def observe(self, remote: HybridStamp) -> Result[None, ClockDrift]:
        """Take in the stamp of a message from another process.

        Returns:
            An error for a stamp more than an hour ahead, which is ignored: one
            wrong clock would else move the clocks of all processes.
        """
        ahead = remote.wall - self._read_wall()
        if ahead > MAX_DRIFT_SECONDS * MICROSECONDS:
            return Err(ClockDrift(ahead / MICROSECONDS))
        if remote > HybridStamp(self._wall, self._counter):
            self._wall = remote.wall
            self._counter = remote.counter
        return Ok(None)
