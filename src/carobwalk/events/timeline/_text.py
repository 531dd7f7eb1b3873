"""Text time line."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._escaping import (
    escape_text,
    format_fields,
)
from carobwalk.events.timeline._renderers import renders

_UNKNOWN_TIME: Final = 'unknown time'


@renders('text')
def render_text(events: Sequence[LoggedEvent]) -> str:
    """Return one line for each event: time, process, name and fields."""
    processes = [escape_text(event.process) for event in events]
    width = max(map(len, processes), default=0)
    rows = zip(processes, events, strict=True)
    return '\n'.join(
        f'{format_time(event)} {process:{width}} {_format_content(event)}'
        for process, event in rows
    )


def format_time(event: LoggedEvent) -> str:
    """Format the wall time of an event in UTC and the logical counter."""
    try:
        moment = datetime.fromtimestamp(event.stamp.seconds, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return _UNKNOWN_TIME
    return f'{moment:%Y-%m-%dT%H:%M:%S.%f}Z/{event.stamp.counter}'


def format_event(event: LoggedEvent) -> str:
    """Format an event on one line."""
    process = escape_text(event.process)
    return f'{format_time(event)} {process} {_format_content(event)}'


def _format_content(event: LoggedEvent) -> str:
    return f'{escape_text(event.name)} {format_fields(dict(event.fields))}'
