"""Time line as data."""

import json
from collections.abc import Sequence
from typing import Any

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._renderers import renders


@renders('json')
def render_json(events: Sequence[LoggedEvent]) -> str:
    """Return one JSON document with the list of events."""
    return json.dumps({'events': [_event_data(event) for event in events]})


def _event_data(event: LoggedEvent) -> dict[str, Any]:
    return {
        'process': event.process,
        'hlc': str(event.stamp),
        'wall_seconds': event.stamp.seconds,
        'event': event.name,
        'fields': dict(event.fields),
    }
