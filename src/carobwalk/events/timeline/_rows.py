"""Rows of one lane of the picture."""

from typing import Final

_MOST_ROWS: Final = 40


class Rows:
    """Rows that are filled from the left."""

    def __init__(self) -> None:
        self._ends: list[float] = []

    @property
    def count(self) -> int:
        """Rows in use, at least one."""
        return max(len(self._ends), 1)

    def take(self, left: float, width: float) -> int:
        """Return the first row that is free there, else the last one."""
        for row, end in enumerate(self._ends):
            if end <= left:
                self._ends[row] = left + width
                return row
        if len(self._ends) < _MOST_ROWS:
            self._ends.append(left + width)
        return len(self._ends) - 1
