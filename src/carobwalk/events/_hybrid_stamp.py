"""Logical times that stay close to the wall clock."""

import re
from dataclasses import dataclass
from typing import Final

MICROSECONDS: Final = 1_000_000

_STAMP: Final = re.compile('([0-9]{1,18})[.]([0-9]{1,18})')


@dataclass(frozen=True, slots=True, order=True)
class HybridStamp:
    """One reading of a hybrid logical clock.

    Args:
        wall: Largest wall time known, in microseconds since 1970.
        counter: Count of the readings with the same wall time, from 0.
    """

    wall: int
    counter: int

    def __str__(self) -> str:
        """Return the form used in logs and messages."""
        return f'{self.wall}.{self.counter}'

    @property
    def seconds(self) -> float:
        """Wall time in seconds since 1970."""
        return self.wall / MICROSECONDS


def parse_stamp(text: str) -> HybridStamp | None:
    """Return the stamp that a text names, ``None`` for another form."""
    match = _STAMP.fullmatch(text)
    if match is None:
        return None
    return HybridStamp(int(match[1]), int(match[2]))
