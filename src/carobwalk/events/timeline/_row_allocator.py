"""Rows of a lane in the picture of a time line."""

from typing import Final

_MAX_ROWS: Final = 40


class RowAllocator:
    """Allocates space in rows from left to right."""

    def __init__(self) -> None:
        self._occupied_until: list[float] = []

    @property
    def count(self) -> int:
        """Number of rows in use, at least one."""
        return max(len(self._occupied_until), 1)

    def allocate(self, left: float, width: float) -> int:
        """Return the first row that is free there, else the last row.

        Args:
            left: Left edge of the space; calls come in rising order.
            width: Width of the space.
        """
        for row, end in enumerate(self._occupied_until):
            if end <= left:
                self._occupied_until[row] = left + width
                return row
        if len(self._occupied_until) < _MAX_ROWS:
            self._occupied_until.append(left + width)
        return len(self._occupied_until) - 1
