"""Events that tell how one request went."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from carobwalk.events._hybrid_stamp import MICROSECONDS
from carobwalk.events._logged_event import LoggedEvent

_REQUEST: Final = 'request'
_SERVER: Final = 'server'
_SERVICE: Final = 'service'
_KEY: Final = 'key'
_FIRST: Final = 'first'
_LAST: Final = 'last'


@dataclass(frozen=True, slots=True)
class RequestStory:
    """A request, and what was decided about its server and key before.

    Args:
        own: Events of the request itself, in order.
        context: Events of its servers, its key, its service's map and its
            process in the time before, in order.
    """

    own: tuple[LoggedEvent, ...]
    context: tuple[LoggedEvent, ...]


def tell_request(
    events: Iterable[LoggedEvent],
    request: str,
    seconds: float,
) -> RequestStory:
    """Return the story of a request.

    Args:
        events: Events of all processes in their order.
        request: Id of the caller's attempt.
        seconds: How long before its end context is looked for.
    """
    candidates = tuple(events)
    own = tuple(
        event for event in candidates if event.fields.get(_REQUEST) == request
    )
    if not own:
        return RequestStory((), ())
    end = own[-1].stamp.wall
    start = end - int(seconds * MICROSECONDS)
    subject = _Subject.of(own)
    return RequestStory(
        own,
        tuple(
            event
            for event in candidates
            if start <= event.stamp.wall <= end and subject.concerns(event)
        ),
    )


@dataclass(frozen=True, slots=True)
class _Subject:
    processes: frozenset[str]
    servers: frozenset[str]
    services: frozenset[str]
    keys: frozenset[int]

    @classmethod
    def of(cls, events: tuple[LoggedEvent, ...]) -> '_Subject':
        return cls(
            frozenset(event.process for event in events),
            _texts(events, _SERVER),
            _texts(events, _SERVICE),
            frozenset(int(key) for key in _texts(events, _KEY)),
        )

    def concerns(self, event: LoggedEvent) -> bool:
        """Return whether an event may have decided about the request."""
        if _REQUEST in event.fields:
            return False
        if event.fields.get(_SERVER) in self.servers:
            return True
        if self._is_about_key(event.fields):
            return True
        names_server = _SERVER in event.fields
        return event.process in self.processes and not names_server

    def _is_about_key(self, fields: Mapping[str, str]) -> bool:
        if _LAST not in fields:
            return False
        if fields.get(_SERVICE) not in self.services:
            return False
        first = int(fields[_FIRST])
        last = int(fields[_LAST])
        return any(first <= key <= last for key in self.keys)


def _texts(events: tuple[LoggedEvent, ...], name: str) -> frozenset[str]:
    return frozenset(
        event.fields[name] for event in events if event.fields.get(name)
    )
