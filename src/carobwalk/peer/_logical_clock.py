"""Contract of the logical clock that stamps frames between processes."""

from typing import Protocol

from carobwalk.events import HybridStamp


class LogicalClock(Protocol):
    """Logical clock of a process."""

    def stamp(self) -> HybridStamp:
        """Return the stamp for a message that is about to be sent."""

    def observe(self, remote: HybridStamp) -> object:
        """Advance the clock to at least the stamp of a received message."""
