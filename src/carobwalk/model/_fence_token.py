"""Fencing tokens, which order the grants of keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class FenceToken:
    """Position of a grant in the order of all grants of its group.

    Args:
        epoch: Epoch of the coordinator that issued the grant.
        sequence: Sequence number of the grant within the epoch.
    """

    epoch: int
    sequence: int

    def __str__(self) -> str:
        """Return the form used in headers and logs."""
        return f'{self.epoch}.{self.sequence}'
