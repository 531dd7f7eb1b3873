"""Time axis of the picture of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobwalk.events._logged_event import LoggedEvent

LEFT: Final = 150.0
RIGHT: Final = 1440.0


@dataclass(frozen=True, slots=True)
class TimeScale:
    """Maps times to horizontal positions.

    Args:
        start: Wall time at the left end in seconds since 1970.
        duration: Time from the left to the right end in seconds, above 0.
    """

    start: float
    duration: float

    def x_at(self, seconds: float) -> float:
        """Return the position of a time in seconds after the start."""
        return LEFT + (RIGHT - LEFT) * seconds / self.duration

    def x_of(self, event: LoggedEvent) -> float:
        """Return the position of an event."""
        return self.x_at(event.stamp.seconds - self.start)


def time_scale_of(events: Sequence[LoggedEvent]) -> TimeScale:
    """Return the axis that spans all events."""
    moments = [event.stamp.seconds for event in events]
    start = min(moments, default=0)
    return TimeScale(start, max(moments, default=0) - start or 1.0)
