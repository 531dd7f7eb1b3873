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

_DEFAULT_HANDLER: Final = 0
_EXTRA: Final = 'event_log'


class LineEventLog:
    """Writes events through loguru, one line each.

    Several logs can be open in one process; each gets just its own events.

    Args:
        process: Id of the process.
        clock: Clock that stamps the events, shared with the connections to
            other processes.
        handler: Identity of loguru's sink.
        level: Least level that is written.
    """

    def __init__(
        self,
        process: str,
        clock: HybridClock,
        handler: int,
        level: str,
    ) -> None:
        self._process = process
        self._clock = clock
        self._handler = handler
        self._severity = _severity_of(level)
        self._logger = logger.bind(**{_EXTRA: process})

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
            path: File that lines are appended to, or what takes each line;
                standard error if ``None``.
            level: Least level that is written.

        Raises:
            OSError: If the file can't be opened.
        """
        _remove_default_handler()
        handler = logger.add(
            path or sys.stderr,
            level=level.upper(),
            format='{message}',
            filter=lambda record: record['extra'].get(_EXTRA) == process,
            colorize=False,
            backtrace=False,
            diagnose=False,
        )
        return cls(process, clock, handler, level)

    def emit(self, event: Event) -> None:
        """Write one event with the process id and the logical time."""
        if _severity_of(event.level) < self._severity:
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
        logger.remove(self._handler)


@cache
def _severity_of(level: str) -> int:
    return logger.level(level.upper()).no


def _fields_of(event: Event) -> dict[str, str]:
    texts_by_name = {}
    for member in fields(event):
        content = getattr(event, member.name)
        if content is not None:
            texts_by_name[member.name] = _text_of(content)
    return texts_by_name


def _text_of(content: Any) -> str:
    if isinstance(content, bool):
        return 'true' if content else 'false'
    if isinstance(content, tuple | list | set | frozenset):
        return ','.join(_text_of(member) for member in content)
    return str(content)


def _remove_default_handler() -> None:
    try:
        logger.remove(_DEFAULT_HANDLER)
    except ValueError:
        return
