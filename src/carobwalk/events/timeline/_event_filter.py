"""Selection of the events that a time line shows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from carobwalk.events._logged_event import LoggedEvent

_REQUEST_FIELD: Final = 'request'


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events by their names, processes and fields.

    An empty criterion matches all events; an event must match all criteria.

    Args:
        names: Names of events.
        processes: Ids of processes.
        values_by_field: Allowed values by name of the field.
        follow_requests: Whether to add all events of each request of which
            an event is selected.
    """

    names: frozenset[str] = frozenset()
    processes: frozenset[str] = frozenset()
    values_by_field: Mapping[str, frozenset[str]] = field(default_factory=dict)
    follow_requests: bool = False

    def select(self, events: Iterable[LoggedEvent]) -> list[LoggedEvent]:
        """Return the selected events in their original order."""
        candidates = list(events)
        selected = [event for event in candidates if self._matches(event)]
        if not self.follow_requests:
            return selected
        requests = {event.fields.get(_REQUEST_FIELD) for event in selected} - {
            None
        }
        return [
            event
            for event in candidates
            if self._matches(event)
            or event.fields.get(_REQUEST_FIELD) in requests
        ]

    def _matches(self, event: LoggedEvent) -> bool:
        if self.names and event.name not in self.names:
            return False
        if self.processes and event.process not in self.processes:
            return False
        return all(
            event.fields.get(name) in values
            for name, values in self.values_by_field.items()
            if values
        )
