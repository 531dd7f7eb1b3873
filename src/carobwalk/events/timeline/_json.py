"""JSON time line."""

import json
from collections.abc import Sequence
from typing import Any

from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events.timeline._renderers import renders


@renders('json')
def render_json(events: Sequence[LoggedEvent]) -> str:
    """Return a JSON document with the list of events."""
    return json.dumps({'events': [_event_to_dict(event) for event in events]})


def _event_to_dict(event: LoggedEvent) -> dict[str, Any]:
    return {
        'process': event.process,
        'hlc': str(event.stamp),
        'wall_seconds': event.stamp.seconds,
        'event': event.name,
        'fields': dict(event.fields),
    }
