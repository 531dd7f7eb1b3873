"""Events of one request and their context."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from carobwalk.events._hybrid_stamp import MICROSECONDS_PER_SECOND
from carobwalk.events._logged_event import LoggedEvent

_REQUEST_FIELD: Final = 'request'
_SERVER_FIELD: Final = 'server'
_SERVICE_FIELD: Final = 'service'
_KEY_FIELD: Final = 'key'
_FIRST_FIELD: Final = 'first'
_LAST_FIELD: Final = 'last'


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Events of a request, and earlier events that may explain its outcome.

    Args:
        events: Events of the request itself, in order.
        context: Preceding events about its servers, its key, the map of its
            service and its process, in order.
    """

    events: tuple[LoggedEvent, ...]
    context: tuple[LoggedEvent, ...]


def trace_request(
    events: Iterable[LoggedEvent],
    request: str,
    seconds: float,
) -> RequestTrace:
    """Return the events of a request and their context.

    Args:
        events: Events of all processes in causal order.
        request: Request id, chosen by the caller for each attempt.
        seconds: Time before the end of the request that context may cover.
    """
    candidates = tuple(events)
    own = tuple(
        event
        for event in candidates
        if event.fields.get(_REQUEST_FIELD) == request
    )
    if not own:
        return RequestTrace((), ())
    end = own[-1].stamp.wall
    start = end - int(seconds * MICROSECONDS_PER_SECOND)
    subject = _Subject.of(own)
    return RequestTrace(
        own,
        tuple(
            event
            for event in candidates
            if start <= event.stamp.wall <= end and subject.is_related(event)
        ),
    )


@dataclass(frozen=True, slots=True)
class _Subject:
    """Processes, servers, services and keys that a request involved."""

    processes: frozenset[str]
    servers: frozenset[str]
    services: frozenset[str]
    keys: frozenset[int]

    @classmethod
    def of(cls, events: tuple[LoggedEvent, ...]) -> '_Subject':
        return cls(
            frozenset(event.process for event in events),
            _field_values(events, _SERVER_FIELD),
            _field_values(events, _SERVICE_FIELD),
            frozenset(int(key) for key in _field_values(events, _KEY_FIELD)),
        )

    def is_related(self, event: LoggedEvent) -> bool:
        """Return whether an event may have affected the request."""
        if _REQUEST_FIELD in event.fields:
            return False
        if event.fields.get(_SERVER_FIELD) in self.servers:
            return True
        if self._covers_key(event.fields):
            return True
        has_server = _SERVER_FIELD in event.fields
        return event.process in self.processes and not has_server

    def _covers_key(self, fields: Mapping[str, str]) -> bool:
        if _LAST_FIELD not in fields:
            return False
        if fields.get(_SERVICE_FIELD) not in self.services:
            return False
        first = int(fields[_FIRST_FIELD])
        last = int(fields[_LAST_FIELD])
        return any(first <= key <= last for key in self.keys)


def _field_values(events: tuple[LoggedEvent, ...], name: str) -> frozenset[str]:
    return frozenset(
        event.fields[name] for event in events if event.fields.get(name)
    )
