"""Count of requests that are on their way."""

from collections.abc import Iterator
from contextlib import contextmanager


class Presence:
    """Counts requests here and, if it has one, in its parent.

    Args:
        parent: Count that includes this one.
    """

    def __init__(self, parent: 'Presence | None' = None) -> None:
        self._parent = parent
        self._count = 0

    @property
    def count(self) -> int:
        """Requests that are on their way."""
        return self._count

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Count one request for the length of a block."""
        self._add(1)
        try:
            yield
        finally:
            self._add(-1)

    def _add(self, change: int) -> None:
        self._count += change
        if self._parent is not None:
            self._parent._add(change)
