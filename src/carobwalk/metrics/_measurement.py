"""One value of an observable instrument."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Measurement:
    """One value of an instrument, with the labels of its series.

    Args:
        value: Value at the time of the scrape.
        labels: Label values by label name.
    """

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)
