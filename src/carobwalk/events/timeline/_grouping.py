"""Grouping of events that are too close for marks of their own."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._scale import Scale

MARK_WIDTH: Final = 14.0


@dataclass(frozen=True, slots=True)
class Grouping:
    """Groups of events of one name and process.

    Args:
        groups: Groups in the causal order of their first events.
        numbers: For each event in causal order, the index of its group.
    """

    groups: tuple[tuple[LoggedEvent, ...], ...]
    numbers: tuple[int, ...]


def group_events(events: Sequence[LoggedEvent], scale: Scale) -> Grouping:
    """Group the events that lie within one mark's width of the first."""
    groups: list[list[LoggedEvent]] = []
    numbers: list[int] = []
    last_by_kind: dict[tuple[str, str], int] = {}
    for event in events:
        kind = event.process, event.name
        number = last_by_kind.get(kind, len(groups))
        if number < len(groups) and _is_far(groups[number], event, scale):
            number = len(groups)
        if number == len(groups):
            groups.append([])
            last_by_kind[kind] = number
        groups[number].append(event)
        numbers.append(number)
    return Grouping(tuple(map(tuple, groups)), tuple(numbers))


def _is_far(
    group: list[LoggedEvent],
    event: LoggedEvent,
    scale: Scale,
) -> bool:
    return scale.place(event) - scale.place(group[0]) >= MARK_WIDTH
