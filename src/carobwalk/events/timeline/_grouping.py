"""Grouping of events that are too close for separate marks."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._time_scale import TimeScale

MARK_WIDTH: Final = 14.0


@dataclass(frozen=True, slots=True)
class Grouping:
    """Groups of events with the same name and process.

    Args:
        groups: Groups in the causal order of their first events.
        group_indexes: For each event in causal order, the index of its group.
    """

    groups: tuple[tuple[LoggedEvent, ...], ...]
    group_indexes: tuple[int, ...]


def group_events(
    events: Sequence[LoggedEvent], time_scale: TimeScale
) -> Grouping:
    """Group events that lie within the width of a mark after the first.

    Args:
        events: Merged events in causal order.
        time_scale: Time axis of the picture.
    """
    groups: list[list[LoggedEvent]] = []
    group_indexes: list[int] = []
    last_group_by_kind: dict[tuple[str, str], int] = {}
    for event in events:
        kind = event.process, event.name
        index = last_group_by_kind.get(kind, len(groups))
        if index < len(groups) and _is_beyond_mark(
            groups[index], event, time_scale
        ):
            index = len(groups)
        if index == len(groups):
            groups.append([])
            last_group_by_kind[kind] = index
        groups[index].append(event)
        group_indexes.append(index)
    return Grouping(tuple(map(tuple, groups)), tuple(group_indexes))


def _is_beyond_mark(
    group: list[LoggedEvent],
    event: LoggedEvent,
    time_scale: TimeScale,
) -> bool:
    return time_scale.x_of(event) - time_scale.x_of(group[0]) >= MARK_WIDTH
