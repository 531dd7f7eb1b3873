"""Places of events in the picture of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._printable import printable
from carobwalk.events.timeline._rows import Rows

LEFT: Final = 150.0
RIGHT: Final = 1440.0
TOP: Final = 50.0
ROW_HEIGHT: Final = 16.0

_LANE_GAP: Final = 14.0
_CHARACTER_WIDTH: Final = 6.5
_MARK_WIDTH: Final = 14.0
_MOST_LABELS: Final = 400


@dataclass(frozen=True, slots=True)
class PlacedEvent:
    """An event with its place; ``label`` is empty where there are too many."""

    event: LoggedEvent
    left: float
    top: float
    label: str

    @property
    def process(self) -> str:
        """Process that logged the event."""
        return self.event.process

    @property
    def point(self) -> tuple[float, float]:
        """Place from the left and from the top."""
        return self.left, self.top


@dataclass(frozen=True, slots=True)
class Lane:
    """Band of one process, from ``top`` over ``height``."""

    process: str
    top: float
    height: float

    @property
    def bottom(self) -> float:
        """Lower edge."""
        return self.top + self.height


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


@dataclass(frozen=True, slots=True)
class Layout:
    """Places of all lanes and events.

    Args:
        scale: Time axis.
        lanes: Lanes from top to bottom, by process.
        events: Events in their causal order.
    """

    scale: Scale
    lanes: tuple[Lane, ...]
    events: tuple[PlacedEvent, ...]

    @property
    def bottom(self) -> float:
        """Lower edge of the last lane."""
        return self.lanes[-1].bottom if self.lanes else TOP


def lay_out(events: Sequence[LoggedEvent]) -> Layout:
    """Return the places of merged events.

    Events of one process that are close in time are put below each other.
    """
    scale = _scale_of(events)
    rows_by_process = {
        process: Rows()
        for process in sorted({event.process for event in events})
    }
    placed = [
        _take_row(event, scale, rows_by_process, len(events))
        for event in events
    ]
    lanes = _stack(rows_by_process)
    tops_by_process = {lane.process: lane.top for lane in lanes}
    moved = tuple(
        PlacedEvent(
            item.event,
            item.left,
            item.top + tops_by_process[item.process],
            item.label,
        )
        for item in placed
    )
    return Layout(scale, tuple(lanes), moved)


def _scale_of(events: Sequence[LoggedEvent]) -> Scale:
    moments = [event.stamp.seconds for event in events]
    start = min(moments, default=0)
    return Scale(start, max(moments, default=0) - start or 1.0)


def _take_row(
    event: LoggedEvent,
    scale: Scale,
    rows_by_process: dict[str, Rows],
    count: int,
) -> PlacedEvent:
    """Return the event with its place within its lane."""
    label = printable(event.name) if count <= _MOST_LABELS else ''
    left = scale.left_of(event.stamp.seconds - scale.start)
    width = _MARK_WIDTH + _CHARACTER_WIDTH * len(label)
    row = rows_by_process[event.process].take(left, width)
    return PlacedEvent(event, left, ROW_HEIGHT * row + ROW_HEIGHT / 2, label)


def _stack(rows_by_process: dict[str, Rows]) -> list[Lane]:
    lanes: list[Lane] = []
    top = TOP
    for process, rows in rows_by_process.items():
        lane = Lane(process, top, rows.count * ROW_HEIGHT)
        lanes.append(lane)
        top = lane.bottom + _LANE_GAP
    return lanes
