"""Instruments whose values are read at each scrape."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from carobwalk.metrics._measurement import Measurement


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservableInstrument:
    """A gauge or counter whose values another component holds.

    Args:
        name: Name without the common prefix, with segments split by dots.
        description: Help text on the metrics page.
        read: Returns the current values.
        unit: UCUM unit, such as ``By`` or ``s``.
        is_monotonic: Whether the values only increase, as in a counter.
    """

    name: str
    description: str
    read: Callable[[], Iterable[Measurement]]
    unit: str = ''
    is_monotonic: bool = False
