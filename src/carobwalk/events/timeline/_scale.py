"""Time axis of the picture."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobwalk.events._logged_event import LoggedEvent

LEFT: Final = 150.0
RIGHT: Final = 1440.0


@dataclass(frozen=True, slots=True)
class Scale:
    """Time axis.

    Args:
        start: Wall time at the left end, in seconds since 1970.
        duration: Seconds from the left to the right end, above 0.
    """

    start: float
    duration: float

    def left_of(self, seconds: float) -> float:
        """Return the place of a time that is given from the start."""
        return LEFT + (RIGHT - LEFT) * seconds / self.duration

    def place(self, event: LoggedEvent) -> float:
        """Return the place of an event."""
        return self.left_of(event.stamp.seconds - self.start)


def scale_of(events: Sequence[LoggedEvent]) -> Scale:
    """Return the axis that holds all events."""
    moments = [event.stamp.seconds for event in events]
    start = min(moments, default=0)
    return Scale(start, max(moments, default=0) - start or 1.0)
