"""Layout of the picture of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._escaping import escape_text
from carobwalk.events.timeline._grouping import MARK_WIDTH, group_events
from carobwalk.events.timeline._row_allocator import RowAllocator
from carobwalk.events.timeline._time_scale import TimeScale, time_scale_of

TOP: Final = 50.0
ROW_HEIGHT: Final = 16.0

_LANE_GAP: Final = 14.0
_CHARACTER_WIDTH: Final = 6.5
_MAX_LABELS: Final = 400


@dataclass(frozen=True, slots=True)
class PlacedGroup:
    """Events of one name and process that one mark represents.

    Args:
        events: The events, too close in time for separate marks.
        left: Horizontal position of the first event.
        top: Vertical position of the middle of the row.
        label: Text beside the mark.
    """

    events: tuple[LoggedEvent, ...]
    left: float
    top: float
    label: str

    @property
    def name(self) -> str:
        """Name of the events."""
        return self.events[0].name

    @property
    def process(self) -> str:
        """Process that logged the events."""
        return self.events[0].process

    @property
    def point(self) -> tuple[float, float]:
        """Position from the left and from the top."""
        return self.left, self.top


@dataclass(frozen=True, slots=True)
class Lane:
    """Horizontal band of one process.

    Args:
        process: Id of the process.
        top: Upper edge.
        height: Height of all rows of the lane.
    """

    process: str
    top: float
    height: float

    @property
    def bottom(self) -> float:
        """Lower edge."""
        return self.top + self.height


@dataclass(frozen=True, slots=True)
class Layout:
    """Positions of all lanes and events.

    Args:
        time_scale: Time axis.
        lanes: Lanes from top to bottom, by process.
        groups: Groups in the causal order of their first events.
        group_indexes: For each event in causal order, the index of its group.
    """

    time_scale: TimeScale
    lanes: tuple[Lane, ...]
    groups: tuple[PlacedGroup, ...]
    group_indexes: tuple[int, ...]

    @property
    def bottom(self) -> float:
        """Lower edge of the last lane."""
        return self.lanes[-1].bottom if self.lanes else TOP


def compute_layout(events: Sequence[LoggedEvent]) -> Layout:
    """Return the layout of merged events.

    Groups of one process that would overlap are placed in separate rows.
    """
    time_scale = time_scale_of(events)
    grouping = group_events(events, time_scale)
    is_labelled = len(grouping.groups) <= _MAX_LABELS
    allocators_by_process = {
        process: RowAllocator()
        for process in sorted({event.process for event in events})
    }
    rows = [
        _place_in_row(
            group,
            time_scale,
            allocators_by_process[group[0].process],
            is_labelled,
        )
        for group in grouping.groups
    ]
    lanes = _stack_lanes(allocators_by_process)
    tops_by_process = {lane.process: lane.top for lane in lanes}
    groups = [
        replace(group, top=group.top + tops_by_process[group.process])
        for group in rows
    ]
    return Layout(
        time_scale, tuple(lanes), tuple(groups), grouping.group_indexes
    )


def _place_in_row(
    events: tuple[LoggedEvent, ...],
    time_scale: TimeScale,
    rows: RowAllocator,
    is_labelled: bool,
) -> PlacedGroup:
    """Return a group with its position within its lane."""
    label = _label_of(events, is_labelled)
    left = time_scale.x_of(events[0])
    row = rows.allocate(left, MARK_WIDTH + _CHARACTER_WIDTH * len(label))
    return PlacedGroup(events, left, ROW_HEIGHT * row + ROW_HEIGHT / 2, label)


def _label_of(events: tuple[LoggedEvent, ...], is_labelled: bool) -> str:
    count = f'({len(events)})' if len(events) > 1 else ''
    name = escape_text(events[0].name) if is_labelled else ''
    return f'{name} {count}'.strip()


def _stack_lanes(allocators_by_process: dict[str, RowAllocator]) -> list[Lane]:
    lanes: list[Lane] = []
    top = TOP
    for process, rows in allocators_by_process.items():
        lane = Lane(process, top, rows.count * ROW_HEIGHT)
        lanes.append(lane)
        top = lane.bottom + _LANE_GAP
    return lanes
