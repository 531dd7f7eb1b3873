"""Contract of the logical clock that peer connections carry."""

from typing import Protocol


class StampSource(Protocol):
    """Logical clock of a process."""

    def stamp(self) -> int:
        """Return the stamp of a message that is about to be sent."""

    def observe(self, stamp: int) -> None:
        """Take in the stamp of a message that arrived."""
