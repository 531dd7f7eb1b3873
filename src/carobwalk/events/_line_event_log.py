"""Event log that writes one line for each event."""

import sys
from collections.abc import Callable
from dataclasses import fields
from functools import cache
from typing import Any, Final, Self

from loguru import logger

from carobwalk.events._event import Event
from carobwalk.events._hybrid_clock import HybridClock
from carobwalk.events._lines import format_line
from carobwalk.events._logged_event import LoggedEvent

_DEFAULT_HANDLER_ID: Final = 0
_LOG_ID_KEY: Final = 'event_log'


class LineEventLog:
    """Writes events through loguru, one line each.

    Several logs can be open in one process; each writes only its own events.

    Args:
        process: Id of the process.
        clock: Clock that stamps the events, shared with the connections to
            other processes.
        handler_id: Identifier of the sink in loguru.
        level: Lowest level that is written.
    """

    def __init__(
        self,
        process: str,
        clock: HybridClock,
        handler_id: int,
        level: str,
    ) -> None:
        self._process = process
        self._clock = clock
        self._handler_id = handler_id
        self._min_severity = _severity_of(level)
        self._logger = logger.bind(**{_LOG_ID_KEY: process})

    @classmethod
    def open(
        cls,
        process: str,
        clock: HybridClock,
        path: str | Callable[[str], None] | None = None,
        level: str = 'info',
    ) -> Self:
        """Open a log.

        Args:
            process: Id of the process.
            clock: Clock that stamps the events.
            path: File that lines are appended to, or a function that receives
                each line; standard error if ``None``.
            level: Lowest level that is written.

        Raises:
            OSError: If the file can't be opened.
        """
        _remove_default_handler()
        handler_id = logger.add(
            path or sys.stderr,
            level=level.upper(),
            format='{message}',
            filter=lambda record: record['extra'].get(_LOG_ID_KEY) == process,
            colorize=False,
            backtrace=False,
            diagnose=False,
        )
        return cls(process, clock, handler_id, level)

    def emit(self, event: Event) -> None:
        """Write one event with the process id and the logical time.

        An event below the configured level is skipped and does not advance the
        logical clock.
        """
        if _severity_of(event.level) < self._min_severity:
            return
        logged = LoggedEvent(
            process=self._process,
            stamp=self._clock.stamp(),
            name=type(event).__name__,
            fields=_fields_of(event),
        )
        self._logger.log(event.level.upper(), format_line(logged))

    def close(self) -> None:
        """Flush and close the sink."""
        logger.remove(self._handler_id)


@cache
def _severity_of(level: str) -> int:
    return logger.level(level.upper()).no


def _fields_of(event: Event) -> dict[str, str]:
    values_by_name = {}
    for item in fields(event):
        value = getattr(event, item.name)
        if value is not None:
            values_by_name[item.name] = _format_value(value)
    return values_by_name


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, tuple | list | set | frozenset):
        return ','.join(_format_value(item) for item in value)
    return str(value)


def _remove_default_handler() -> None:
    try:
        logger.remove(_DEFAULT_HANDLER_ID)
    except ValueError:
        return
