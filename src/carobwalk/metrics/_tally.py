"""Sums by labels, read by the metrics library when it is scraped."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation

MOST_SERIES: Final = 2000
OVERFLOW: Final = 'other'


class Tally:
    """Sums that only rise.

    An increment of a dictionary costs much less than the library's own
    counter, which matters on the way of each request. Series beyond
    ``MOST_SERIES`` are added up in one whose labels are all ``other``.

    Args:
        names: Names of the labels.
    """

    def __init__(self, *names: str) -> None:
        self._names = names
        self._sums_by_labels: defaultdict[tuple[str, ...], float] = defaultdict(
            float
        )
        self._overflow = (OVERFLOW,) * len(names)

    def add(self, amount: float, *labels: str) -> None:
        """Add an amount to the sum of some labels."""
        sums = self._sums_by_labels
        if len(sums) >= MOST_SERIES and labels not in sums:
            labels = self._overflow
        sums[labels] += amount

    def observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return all sums; called by the library."""
        return [
            Observation(total, dict(zip(self._names, labels, strict=True)))
            for labels, total in self._sums_by_labels.items()
        ]
