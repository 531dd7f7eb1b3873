"""Clock with a configurable rate and offset."""

from dataclasses import dataclass

import trio


@dataclass(frozen=True, slots=True)
class FakeClock:
    """Clock of one process or backend server.

    Args:
        rate: Seconds that it advances per second of the event loop.
        offset: Its reading at the start of the event loop, in seconds.
    """

    rate: float = 1
    offset: float = 0

    def now(self) -> float:
        """Return the reading in seconds."""
        return trio.current_time() * self.rate + self.offset
