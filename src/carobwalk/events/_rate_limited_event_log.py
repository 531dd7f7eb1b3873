"""Event log that limits the rate of lines of each kind of event."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.events._event import Event
from carobwalk.events._event_log import EventLog

_ROUTINE_LEVEL: Final = 'info'
_MAX_ROUTINE_LINES: Final = 100
_MAX_FAILURE_LINES: Final = 200
_WINDOW_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class LinesLeftOut(Event):
    """Events of a kind were omitted because they exceeded the rate limit.

    Args:
        name: Kind of the events.
        count: Number of events omitted in the window that ended.
    """

    name: str
    count: int


class RateLimitedEventLog:
    """Passes on a limited number of events of each kind in each second.

    Each kind has its own limit, so that a flood of request events does not
    suppress events about the state of the process.

    Args:
        log: Receives the events within the limit.
        now: Returns the current time in seconds.
    """

    def __init__(self, log: EventLog, now: Callable[[], float]) -> None:
        self._log = log
        self._now = now
        self._window_end = now() + _WINDOW_SECONDS
        self._counts_by_kind: Counter[type[Event]] = Counter()
        self._omitted_by_kind: Counter[type[Event]] = Counter()

    def emit(self, event: Event) -> None:
        """Pass an event on unless its kind has reached its limit."""
        if self._now() >= self._window_end:
            self._start_window()
        kind = type(event)
        limit = (
            _MAX_ROUTINE_LINES
            if event.level == _ROUTINE_LEVEL
            else _MAX_FAILURE_LINES
        )
        if self._counts_by_kind[kind] >= limit:
            self._omitted_by_kind[kind] += 1
            return
        self._counts_by_kind[kind] += 1
        self._log.emit(event)

    def _start_window(self) -> None:
        self._window_end = self._now() + _WINDOW_SECONDS
        self._counts_by_kind.clear()
        for kind, count in self._omitted_by_kind.items():
            self._log.emit(LinesLeftOut(kind.__name__, count))
        self._omitted_by_kind.clear()
