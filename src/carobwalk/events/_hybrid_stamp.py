"""Timestamps of the hybrid logical clock."""

import re
from dataclasses import dataclass
from typing import Final

MICROSECONDS_PER_SECOND: Final = 1_000_000

_STAMP: Final = re.compile('([0-9]{1,18})[.]([0-9]{1,18})')


@dataclass(frozen=True, slots=True, order=True)
class HybridStamp:
    """A timestamp of a hybrid logical clock.

    Args:
        wall: Largest wall time seen so far, in microseconds since 1970.
        counter: Number of earlier stamps with the same wall time.
    """

    wall: int
    counter: int

    def __str__(self) -> str:
        """Return the form used in logs and messages."""
        return f'{self.wall}.{self.counter}'

    @property
    def seconds(self) -> float:
        """Wall time in seconds since 1970."""
        return self.wall / MICROSECONDS_PER_SECOND


def parse_stamp(text: str) -> HybridStamp | None:
    """Parse the text form of a stamp; return ``None`` if it is invalid."""
    match = _STAMP.fullmatch(text)
    if match is None:
        return None
    return HybridStamp(int(match[1]), int(match[2]))
