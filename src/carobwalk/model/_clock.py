"""Clocks for deadlines and lease lifetimes."""

import time
from typing import Protocol

import trio


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return the seconds since an arbitrary point in time."""


class SuspendAwareClock:
    """Monotonic clock that includes the time the host is suspended."""

    def now(self) -> float:
        """Return the seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Clock of the running event loop; virtual in tests."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return trio.current_time()
