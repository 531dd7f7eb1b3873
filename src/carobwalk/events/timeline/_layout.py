"""Places of events in the picture of a time line."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._grouping import MARK_WIDTH, group_events
from carobwalk.events.timeline._printable import printable
from carobwalk.events.timeline._rows import Rows
from carobwalk.events.timeline._scale import Scale, scale_of

TOP: Final = 50.0
ROW_HEIGHT: Final = 16.0

_LANE_GAP: Final = 14.0
_CHARACTER_WIDTH: Final = 6.5
_MOST_LABELS: Final = 400


@dataclass(frozen=True, slots=True)
class PlacedGroup:
    """Events of one name and process that one mark stands for.

    Args:
        events: The events, too close in time for marks of their own.
        left: Place of the first event.
        top: Middle of the row.
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
class Layout:
    """Places of all lanes and events.

    Args:
        scale: Time axis.
        lanes: Lanes from top to bottom, by process.
        groups: Groups in the causal order of their first events.
        group_numbers: For each event in causal order, the index of its group.
    """

    scale: Scale
    lanes: tuple[Lane, ...]
    groups: tuple[PlacedGroup, ...]
    group_numbers: tuple[int, ...]

    @property
    def bottom(self) -> float:
        """Lower edge of the last lane."""
        return self.lanes[-1].bottom if self.lanes else TOP


def lay_out(events: Sequence[LoggedEvent]) -> Layout:
    """Return the places of merged events.

    Groups of one process that are close in time are put below each other.
    """
    scale = scale_of(events)
    grouping = group_events(events, scale)
    is_labelled = len(grouping.groups) <= _MOST_LABELS
    rows_by_process = {
        process: Rows()
        for process in sorted({event.process for event in events})
    }
    rows = [
        _place_in_row(
            group, scale, rows_by_process[group[0].process], is_labelled
        )
        for group in grouping.groups
    ]
    lanes = _stack(rows_by_process)
    tops_by_process = {lane.process: lane.top for lane in lanes}
    groups = [
        replace(group, top=group.top + tops_by_process[group.process])
        for group in rows
    ]
    return Layout(scale, tuple(lanes), tuple(groups), grouping.numbers)


def _place_in_row(
    events: tuple[LoggedEvent, ...],
    scale: Scale,
    rows: Rows,
    is_labelled: bool,
) -> PlacedGroup:
    """Return a group with its place within its lane."""
    label = _label_of(events, is_labelled)
    left = scale.place(events[0])
    row = rows.take(left, MARK_WIDTH + _CHARACTER_WIDTH * len(label))
    return PlacedGroup(events, left, ROW_HEIGHT * row + ROW_HEIGHT / 2, label)


def _label_of(events: tuple[LoggedEvent, ...], is_labelled: bool) -> str:
    count = f'({len(events)})' if len(events) > 1 else ''
    name = printable(events[0].name) if is_labelled else ''
    return f'{name} {count}'.strip()


def _stack(rows_by_process: dict[str, Rows]) -> list[Lane]:
    lanes: list[Lane] = []
    top = TOP
    for process, rows in rows_by_process.items():
        lane = Lane(process, top, rows.count * ROW_HEIGHT)
        lanes.append(lane)
        top = lane.bottom + _LANE_GAP
    return lanes
