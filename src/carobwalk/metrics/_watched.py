"""Series that are read at each scrape."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from carobwalk.metrics._reading import Reading


@dataclass(frozen=True, slots=True, kw_only=True)
class Watched:
    """Values that some part keeps, and that a scrape reads.

    Args:
        name: Name without the common prefix, parts split by dots.
        description: What it shows.
        read: Returns the values of now.
        unit: Unit in the form of UCUM, such as ``By`` or ``s``.
        is_rising: Whether the values only rise, as those of a counter.
    """

    name: str
    description: str
    read: Callable[[], Iterable[Reading]]
    unit: str = ''
    is_rising: bool = False
