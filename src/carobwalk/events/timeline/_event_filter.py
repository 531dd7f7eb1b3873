"""Choice of the events that a time line shows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from carobwalk.events._logged_event import LoggedEvent

_REQUEST: Final = 'request'


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Chooses events by their names, processes and fields.

    An empty choice takes all; several choices must all hold.

    Args:
        names: Names of events.
        processes: Ids of processes.
        texts_by_field: Allowed texts of each field.
        follow_requests: Whether to take every event of a request of which
            one event was chosen.
    """

    names: frozenset[str] = frozenset()
    processes: frozenset[str] = frozenset()
    texts_by_field: Mapping[str, frozenset[str]] = field(default_factory=dict)
    follow_requests: bool = False

    def choose(self, events: Iterable[LoggedEvent]) -> list[LoggedEvent]:
        """Return the chosen events in their order."""
        candidates = list(events)
        chosen = [event for event in candidates if self._is_chosen(event)]
        if not self.follow_requests:
            return chosen
        requests = {event.fields.get(_REQUEST) for event in chosen} - {None}
        return [
            event
            for event in candidates
            if self._is_chosen(event) or event.fields.get(_REQUEST) in requests
        ]

    def _is_chosen(self, event: LoggedEvent) -> bool:
        if self.names and event.name not in self.names:
            return False
        if self.processes and event.process not in self.processes:
            return False
        return all(
            event.fields.get(name) in texts
            for name, texts in self.texts_by_field.items()
            if texts
        )
