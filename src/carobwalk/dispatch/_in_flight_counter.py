"""Counter of requests in flight."""

from collections.abc import Iterator
from contextlib import contextmanager


class InFlightCounter:
    """Counts requests in flight, in this counter and its parents.

    Args:
        parent: Counter that includes this one, if any.
    """

    def __init__(self, parent: 'InFlightCounter | None' = None) -> None:
        self._parent = parent
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests in flight."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request as in flight within the block."""
        self._add(1)
        try:
            yield
        finally:
            self._add(-1)

    def _add(self, change: int) -> None:
        self._count += change
        if self._parent is not None:
            self._parent._add(change)
