"""SVG time line: a lane for each process, with time to the right."""

from collections.abc import Mapping, Sequence
from typing import Final
from xml.etree import ElementTree as Tree

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._escaping import escape_text
from carobwalk.events.timeline._layout import (
    TOP,
    Layout,
    PlacedGroup,
    compute_layout,
)
from carobwalk.events.timeline._marks import Mark, marks_by_name
from carobwalk.events.timeline._renderers import renders
from carobwalk.events.timeline._svg_elements import (
    add_element,
    add_line,
    add_path,
    add_text,
)
from carobwalk.events.timeline._text import format_event, format_time
from carobwalk.events.timeline._ticks import format_tick, ticks_of
from carobwalk.events.timeline._time_scale import LEFT, RIGHT

_WIDTH: Final = 1600
_LEGEND_COLUMNS: Final = 6
_LEGEND_ROW_HEIGHT: Final = 18
_MARGIN: Final = 20
_LANE_COLOUR: Final = '#f3f3f3'
_BASELINE_OFFSET: Final = 12
_TICK_HEIGHT: Final = 4
_LABEL_OFFSET: Final = 10
_STYLE: Final = 'font-family:sans-serif;font-size:11px'
_MAX_TOOLTIP_LINES: Final = 20
_REQUEST_FIELD: Final = 'request'


@renders('svg')
def render_svg(events: Sequence[LoggedEvent]) -> str:
    """Return the picture as an SVG document."""
    return Tree.tostring(draw_timeline(events), encoding='unicode')


def draw_timeline(events: Sequence[LoggedEvent]) -> Tree.Element:
    """Return the picture as an SVG element."""
    layout = compute_layout(events)
    marks = marks_by_name(event.name for event in events)
    legend_rows = -(-len(marks) // _LEGEND_COLUMNS)
    height = layout.bottom + 2 * _MARGIN + legend_rows * _LEGEND_ROW_HEIGHT
    root = Tree.Element(
        'svg',
        xmlns='http://www.w3.org/2000/svg',
        viewBox=f'0 0 {_WIDTH} {height:.0f}',
        width=str(_WIDTH),
        height=f'{height:.0f}',
        style=_STYLE,
    )
    add_element(root, 'rect', width='100%', height='100%', fill='white')
    _draw_lanes(root, layout)
    _draw_axis(root, layout)
    _draw_requests(root, events, layout)
    for group in layout.groups:
        _draw_group(root, group, marks[group.name])
    _draw_legend(root, layout.bottom + _MARGIN + _MARGIN / 2, marks)
    return root


def _draw_lanes(root: Tree.Element, layout: Layout) -> None:
    for lane in layout.lanes:
        add_element(
            root,
            'rect',
            x=0,
            y=lane.top,
            width=_WIDTH,
            height=lane.height,
            fill=_LANE_COLOUR,
        )
        point = (LEFT - _MARGIN, lane.top + _BASELINE_OFFSET)
        add_text(root, point, escape_text(lane.process), anchor='end')


def _draw_axis(root: Tree.Element, layout: Layout) -> None:
    label_top = TOP - _LABEL_OFFSET
    line_top = TOP - _TICK_HEIGHT
    for tick in ticks_of(layout.time_scale.duration):
        left = layout.time_scale.x_at(tick)
        add_line(root, (left, line_top), (left, layout.bottom), width=0.5)
        add_text(root, (left, label_top), format_tick(tick), anchor='middle')
    if layout.groups:
        begin = format_time(layout.groups[0].events[0])
        add_text(root, (LEFT, _MARGIN), f'from {begin}')


def _draw_requests(
    root: Tree.Element,
    events: Sequence[LoggedEvent],
    layout: Layout,
) -> None:
    """Connect consecutive events of a request in different processes."""
    previous_by_request: dict[str, PlacedGroup] = {}
    for event, index in zip(events, layout.group_indexes, strict=True):
        request = event.fields.get(_REQUEST_FIELD)
        if request is None:
            continue
        group = layout.groups[index]
        previous = previous_by_request.get(request)
        if previous is not None and previous.process != group.process:
            add_line(root, previous.point, group.point)
        previous_by_request[request] = group


def _draw_group(root: Tree.Element, group: PlacedGroup, mark: Mark) -> None:
    element = add_element(root, 'g')
    lines = [format_event(event) for event in group.events[:_MAX_TOOLTIP_LINES]]
    if len(group.events) > _MAX_TOOLTIP_LINES:
        lines.append(f'and {len(group.events) - _MAX_TOOLTIP_LINES} more')
    add_element(element, 'title').text = '\n'.join(lines)
    add_path(element, mark.shape, mark.colour, group.point)
    if group.label:
        point = (group.left + _LABEL_OFFSET, group.top + _TICK_HEIGHT)
        add_text(element, point, group.label)


def _draw_legend(
    root: Tree.Element,
    top: float,
    marks: Mapping[str, Mark],
) -> None:
    column_width = (RIGHT - _MARGIN) / _LEGEND_COLUMNS
    for index, (name, mark) in enumerate(marks.items()):
        row, column = divmod(index, _LEGEND_COLUMNS)
        left = _MARGIN + column * column_width
        middle = top + row * _LEGEND_ROW_HEIGHT
        add_path(root, mark.shape, mark.colour, (left, middle))
        label_point = (left + _LABEL_OFFSET, middle + _TICK_HEIGHT)
        add_text(root, label_point, escape_text(name))
