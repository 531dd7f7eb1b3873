"""Reading of an event log."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from carobwalk.events._lines import parse_line
from carobwalk.events._logged_event import LoggedEvent

_FIRST_FIELD: Final = 'process='


@dataclass(frozen=True, slots=True)
class LogUnreadable:
    """A log could not be read.

    Args:
        file: Name of the file.
        detail: Cause in plain English.
    """

    file: str
    detail: str

    def __str__(self) -> str:
        """Return the error on one line."""
        return f'{self.file}: {self.detail}'


@dataclass(frozen=True, slots=True)
class DamagedLine:
    """A line of a log that holds no complete event.

    Args:
        file: Name of the file.
        number: Line number, from 1.
        detail: What is wrong with it.
    """

    file: str
    number: int
    detail: str

    def __str__(self) -> str:
        """Return the error on one line."""
        return f'{self.file}:{self.number}: {self.detail}'


@dataclass(frozen=True, slots=True)
class LogFile:
    """Content of one log.

    Args:
        events: Events in file order.
        damaged: Lines without a complete event, such as the last line of a
            process that was killed.
    """

    events: tuple[LoggedEvent, ...]
    damaged: tuple[DamagedLine, ...]


def read_log(path: Path | str) -> Result[LogFile, LogUnreadable]:
    """Read an event log, which may hold lines of several processes.

    Lines without a complete event are reported, not raised.
    """
    file = str(path)
    try:
        text = Path(path).read_text('utf-8', 'replace')
    except (OSError, ValueError) as error:
        return Err(LogUnreadable(file, str(error)))
    events: list[LoggedEvent] = []
    damaged: list[DamagedLine] = []
    for number, line in enumerate(text.split('\n'), start=1):
        # Log collectors prefix a line with the time and the host.
        outcome = parse_line(line[max(line.find(_FIRST_FIELD), 0) :])
        if isinstance(outcome, Ok):
            events.append(outcome.ok_value)
        elif line:
            detail = outcome.err_value.detail
            damaged.append(DamagedLine(file, number, detail))
    return Ok(LogFile(tuple(events), tuple(damaged)))
