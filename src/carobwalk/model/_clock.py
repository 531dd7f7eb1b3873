"""Time as leases count it."""

import time
from typing import Protocol

import trio


class Clock(Protocol):
    """A clock that never runs backwards."""

    def now(self) -> float:
        """Return seconds from an arbitrary start."""


class SuspendAwareClock:
    """Clock that runs on while the host is suspended."""

    def now(self) -> float:
        """Return seconds since the host was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Clock of the running event loop; virtual in tests."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return trio.current_time()
