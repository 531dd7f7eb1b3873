"""Time line as a picture: a lane for each process, time to the right."""

from collections.abc import Mapping, Sequence
from typing import Final
from xml.etree import ElementTree as Tree

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._elements import (
    add_element,
    add_line,
    add_path,
    add_text,
)
from carobwalk.events.timeline._layout import (
    LEFT,
    RIGHT,
    TOP,
    Layout,
    PlacedEvent,
    lay_out,
)
from carobwalk.events.timeline._marks import Mark, marks_by_name
from carobwalk.events.timeline._printable import describe_fields, printable
from carobwalk.events.timeline._renderers import renders
from carobwalk.events.timeline._text import format_time
from carobwalk.events.timeline._ticks import format_tick, ticks_of

_WIDTH: Final = 1600
_LEGEND_COLUMNS: Final = 6
_LEGEND_ROW: Final = 18
_MARGIN: Final = 20
_LANE_COLOUR: Final = '#f3f3f3'
_BASELINE: Final = 12
_TICK_HEIGHT: Final = 4
_LABEL_OFFSET: Final = 10
_STYLE: Final = 'font-family:sans-serif;font-size:11px'
_REQUEST: Final = 'request'


@renders('svg')
def render_svg(events: Sequence[LoggedEvent]) -> str:
    """Return the picture as an SVG document."""
    return Tree.tostring(draw(events), encoding='unicode')


def draw(events: Sequence[LoggedEvent]) -> Tree.Element:
    """Return the picture as an SVG element."""
    layout = lay_out(events)
    marks = marks_by_name(event.name for event in events)
    legend_rows = -(-len(marks) // _LEGEND_COLUMNS)
    height = layout.bottom + 2 * _MARGIN + legend_rows * _LEGEND_ROW
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
    _draw_requests(root, layout)
    for placed in layout.events:
        _draw_event(root, placed, marks[placed.event.name])
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
        place = (LEFT - _MARGIN, lane.top + _BASELINE)
        add_text(root, place, printable(lane.process), anchor='end')


def _draw_axis(root: Tree.Element, layout: Layout) -> None:
    label_top = TOP - _LABEL_OFFSET
    line_top = TOP - _TICK_HEIGHT
    for tick in ticks_of(layout.scale.duration):
        left = layout.scale.left_of(tick)
        add_line(root, (left, line_top), (left, layout.bottom), width=0.5)
        add_text(root, (left, label_top), format_tick(tick), anchor='middle')
    if layout.events:
        begin = format_time(layout.events[0].event)
        add_text(root, (LEFT, _MARGIN), f'from {begin}')


def _draw_requests(root: Tree.Element, layout: Layout) -> None:
    """Connect the events of one request that follow each other elsewhere."""
    last_by_request: dict[str, PlacedEvent] = {}
    for placed in layout.events:
        request = placed.event.fields.get(_REQUEST)
        if request is None:
            continue
        last = last_by_request.get(request)
        if last is not None and last.process != placed.process:
            add_line(root, last.point, placed.point)
        last_by_request[request] = placed


def _draw_event(root: Tree.Element, placed: PlacedEvent, mark: Mark) -> None:
    event = placed.event
    group = add_element(root, 'g')
    add_element(group, 'title').text = (
        f'{format_time(event)} {printable(event.process)} '
        f'{printable(event.name)} {describe_fields(dict(event.fields))}'
    )
    add_path(group, mark.shape, mark.colour, placed.point)
    if placed.label:
        place = (placed.left + _LABEL_OFFSET, placed.top + _TICK_HEIGHT)
        add_text(group, place, placed.label)


def _draw_legend(
    root: Tree.Element,
    top: float,
    marks: Mapping[str, Mark],
) -> None:
    column_width = (RIGHT - _MARGIN) / _LEGEND_COLUMNS
    for number, (name, mark) in enumerate(marks.items()):
        row, column = divmod(number, _LEGEND_COLUMNS)
        left = _MARGIN + column * column_width
        middle = top + row * _LEGEND_ROW
        add_path(root, mark.shape, mark.colour, (left, middle))
        label_place = (left + _LABEL_OFFSET, middle + _TICK_HEIGHT)
        add_text(root, label_place, printable(name))
