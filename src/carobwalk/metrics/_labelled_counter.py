"""Counter with labels that OpenTelemetry reads at each scrape."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation

MAX_SERIES: Final = 2000
OVERFLOW_LABEL: Final = 'other'


class LabelledCounter:
    """Monotonic sums by labels.

    Incrementing a dictionary entry costs much less than the counter of
    OpenTelemetry, which matters on the path of every request. Series beyond
    ``MAX_SERIES`` are summed in one series whose labels are all ``other``.

    Args:
        label_names: Names of the labels.
    """

    def __init__(self, *label_names: str) -> None:
        self._label_names = label_names
        self._sums_by_labels: defaultdict[tuple[str, ...], float] = defaultdict(
            float
        )
        self._overflow_labels = (OVERFLOW_LABEL,) * len(label_names)

    def add(self, amount: float, *labels: str) -> None:
        """Add an amount to the series of the given labels.

        Args:
            amount: Increment, not negative.
            labels: Label values, in the order of the label names.
        """
        sums = self._sums_by_labels
        if len(sums) >= MAX_SERIES and labels not in sums:
            labels = self._overflow_labels
        sums[labels] += amount

    def observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return all sums; called by OpenTelemetry at each scrape."""
        return [
            Observation(
                total, dict(zip(self._label_names, labels, strict=True))
            )
            for labels, total in self._sums_by_labels.items()
        ]
