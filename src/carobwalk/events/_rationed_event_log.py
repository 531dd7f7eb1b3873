"""Event log that writes a bounded number of lines a second."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.events._event import Event
from carobwalk.events._event_log import EventLog

_ROUTINE: Final = 'info'
_ROUTINE_LINES: Final = 100
_FAILURE_LINES: Final = 200
_WINDOW_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class LinesLeftOut(Event):
    """Events of a kind were not written, for there were too many.

    Args:
        name: Kind of the events.
        count: How many were left out since the last line of this kind.
    """

    name: str
    count: int


class RationedEventLog:
    """Passes on so many events of each kind a second.

    Kinds do not take lines from each other: a flood of requests leaves room
    for changes of what the process believes.

    Args:
        log: Takes the events.
        now: Returns the time in seconds.
    """

    def __init__(self, log: EventLog, now: Callable[[], float]) -> None:
        self._log = log
        self._now = now
        self._window_end = now() + _WINDOW_SECONDS
        self._counts_by_kind: Counter[type[Event]] = Counter()
        self._left_out_by_kind: Counter[type[Event]] = Counter()

    def emit(self, event: Event) -> None:
        """Pass an event on if its kind has lines left."""
        if self._now() >= self._window_end:
            self._start_window()
        kind = type(event)
        allowed = _ROUTINE_LINES if event.level == _ROUTINE else _FAILURE_LINES
        if self._counts_by_kind[kind] >= allowed:
            self._left_out_by_kind[kind] += 1
            return
        self._counts_by_kind[kind] += 1
        self._log.emit(event)

    def _start_window(self) -> None:
        self._window_end = self._now() + _WINDOW_SECONDS
        self._counts_by_kind.clear()
        for kind, count in self._left_out_by_kind.items():
            self._log.emit(LinesLeftOut(kind.__name__, count))
        self._left_out_by_kind.clear()
