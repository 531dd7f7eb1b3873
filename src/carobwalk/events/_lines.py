"""Log lines of key=value pairs.

A line is ASCII: ``process``, ``hlc``, ``wall`` and ``event`` in this order,
then the fields of the event. A value with characters other than letters,
digits and ``._:/@+,*-`` is written as a JSON string.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

from result import Err, Ok, Result

from carobwalk.events._hybrid_stamp import HybridStamp, parse_stamp
from carobwalk.events._logged_event import LoggedEvent

_UNQUOTED_VALUE: Final = re.compile('[A-Za-z0-9._:/@+,*-]+')
_PAIR: Final = re.compile(
    r'(?P<name>[A-Za-z_][A-Za-z0-9_]*)='
    r'(?P<text>[A-Za-z0-9._:/@+,*-]+|"(?:[^"\\]|\\.)*")',
)
_QUOTE: Final = '"'
_HEADER_NAMES: Final = ('process', 'hlc', 'wall', 'event')


@dataclass(frozen=True, slots=True)
class LineError:
    """A line that is not a complete line of an event log.

    Args:
        detail: What is wrong with it.
    """

    detail: str


def format_line(event: LoggedEvent) -> str:
    """Format an event as a line without a line break."""
    header = (
        event.process,
        str(event.stamp),
        _format_wall(event.stamp),
        event.name,
    )
    pairs = list(zip(_HEADER_NAMES, header, strict=True))
    pairs.extend(event.fields.items())
    return ' '.join(_format_pair(name, text) for name, text in pairs)


def parse_line(line: str) -> Result[LoggedEvent, LineError]:
    """Parse a line, with or without its line break."""
    try:
        pairs = list(_read_pairs(line.rstrip('\r\n')))
    except ValueError as error:
        return Err(LineError(str(error)))
    return _build_event(pairs)


def _build_event(
    pairs: list[tuple[str, str]],
) -> Result[LoggedEvent, LineError]:
    header_length = len(_HEADER_NAMES)
    names = tuple(name for name, _ in pairs[:header_length])
    if names != _HEADER_NAMES:
        return Err(LineError('does not start with process, hlc, wall, event'))
    header = dict(pairs[:header_length])
    stamp = parse_stamp(header['hlc'])
    if stamp is None:
        return Err(LineError(f'no logical time: {header["hlc"]!r}'))
    fields = dict(pairs[header_length:])
    return Ok(LoggedEvent(header['process'], stamp, header['event'], fields))


def _format_wall(stamp: HybridStamp) -> str:
    try:
        moment = datetime.fromtimestamp(stamp.seconds, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return 'unknown'
    return moment.isoformat(timespec='microseconds')


def _format_pair(name: str, text: str) -> str:
    quoted = text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
    return f'{name}={quoted}'


def _read_pairs(line: str) -> Iterator[tuple[str, str]]:
    position = 0
    while position < len(line):
        match = _PAIR.match(line, position)
        if match is None:
            raise ValueError(f'no key=value pair at column {position + 1}')
        yield match['name'], _unquote(match['text'])
        position = match.end()
        if line[position : position + 1] not in {'', ' '}:
            raise ValueError(f'no space at column {position + 1}')
        position += 1


def _unquote(text: str) -> str:
    if not text.startswith(_QUOTE):
        return text
    return str(json.loads(text))
