"""Time line as text."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Final

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._printable import describe_fields, printable
from carobwalk.events.timeline._renderers import renders

_UNKNOWN_TIME: Final = 'unknown time'


@renders('text')
def render_text(events: Sequence[LoggedEvent]) -> str:
    """Return one line for each event: time, process, name and fields."""
    processes = [printable(event.process) for event in events]
    width = max(map(len, processes), default=0)
    rows = zip(processes, events, strict=True)
    return '\n'.join(
        f'{format_time(event)} {process:{width}} {_describe(event)}'
        for process, event in rows
    )


def format_time(event: LoggedEvent) -> str:
    """Return the wall time of an event in UTC and the logical counter."""
    try:
        moment = datetime.fromtimestamp(event.stamp.seconds, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return _UNKNOWN_TIME
    return f'{moment:%Y-%m-%dT%H:%M:%S.%f}Z/{event.stamp.counter}'


def describe_event(event: LoggedEvent) -> str:
    """Return an event on one line."""
    process = printable(event.process)
    return f'{format_time(event)} {process} {_describe(event)}'


def _describe(event: LoggedEvent) -> str:
    return f'{printable(event.name)} {describe_fields(dict(event.fields))}'
