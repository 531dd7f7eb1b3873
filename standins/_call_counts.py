"""Counts of the calls to the key-value service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls made so far; a long-polling watch counts once.

    Args:
        reads: Reads of a record or of a prefix.
        writes: Writes, deletions, and grants and renewals of leases.
        watches: Watches.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0

    @property
    def total(self) -> int:
        """Number of all calls."""
        return self.reads + self.writes + self.watches
