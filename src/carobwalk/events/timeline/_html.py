"""HTML time line: the picture above a table of all events."""

from collections.abc import Iterable, Sequence
from typing import Final
from xml.etree import ElementTree as Tree

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._escaping import (
    escape_text,
    format_fields,
)
from carobwalk.events.timeline._renderers import renders
from carobwalk.events.timeline._svg import draw_timeline
from carobwalk.events.timeline._text import format_time

_TITLE: Final = 'carobwalk time line'
_HEADINGS: Final = ('time', 'process', 'event', 'fields')
_STYLE: Final = (
    'body{font-family:sans-serif;font-size:13px}'
    'table{border-collapse:collapse}'
    'td,th{text-align:left;padding:2px 10px;border-bottom:1px solid #ddd}'
)


@renders('html')
def render_html(events: Sequence[LoggedEvent]) -> str:
    """Return a self-contained HTML page."""
    page = Tree.Element('html', lang='en')
    head = Tree.SubElement(page, 'head')
    Tree.SubElement(head, 'meta', charset='utf-8')
    Tree.SubElement(head, 'title').text = _TITLE
    Tree.SubElement(head, 'style').text = _STYLE
    body = Tree.SubElement(page, 'body')
    body.append(draw_timeline(events))
    table = Tree.SubElement(body, 'table')
    _add_row(table, 'th', _HEADINGS)
    for event in events:
        _add_row(table, 'td', _cells_of(event))
    content = Tree.tostring(page, encoding='unicode', method='html')
    return f'<!DOCTYPE html>\n{content}'


def _cells_of(event: LoggedEvent) -> tuple[str, ...]:
    return (
        format_time(event),
        escape_text(event.process),
        escape_text(event.name),
        format_fields(dict(event.fields)),
    )


def _add_row(table: Tree.Element, tag: str, cells: Iterable[str]) -> None:
    row = Tree.SubElement(table, 'tr')
    for cell in cells:
        Tree.SubElement(row, tag).text = cell
