"""Contract of the logical clock that peer connections carry."""

from typing import Protocol

from carobwalk.events import HybridStamp


class StampSource(Protocol):
    """Logical clock of a process."""

    def stamp(self) -> HybridStamp:
        """Return the stamp of a message that is about to be sent."""

    def observe(self, remote: HybridStamp) -> object:
        """Take in the stamp of a message that arrived."""
