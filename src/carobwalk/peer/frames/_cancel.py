"""The side that dialled no longer waits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """The side that dialled no longer waits."""
