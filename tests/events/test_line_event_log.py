"""Tests of ``LineEventLog``."""

from dataclasses import dataclass
from functools import partial
from pathlib import Path

from loguru import logger

from carobwalk.events import (
    Event,
    HybridClock,
    HybridStamp,
    LineEventLog,
    parse_line,
)
from carobwalk.model import FenceToken, Rank, ServiceName


@dataclass(frozen=True, slots=True)
class ShardMoved(Event):
    """Event with a field of each type."""

    service: ServiceName
    shard: int
    key: str | None
    rank: Rank
    token: FenceToken
    planned: bool
    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DebugEvent(Event):
    """Event at debug level."""

    level = 'debug'
    key: str


SHARD_MOVED = ShardMoved(
    ServiceName('dat-hang'),
    3,
    'đơn 5\n',
    Rank.BULK,
    FenceToken(2, 7),
    True,
    ('s1', 's2'),
)


class TestLineEventLog:
    def test_emit(self, tmp_path: Path) -> None:
        """An event is written as one line that can be parsed."""
        path = tmp_path / 'events.log'
        log = LineEventLog.open('e1', HybridClock(), str(path))
        log.emit(SHARD_MOVED)
        log.close()
        lines = path.read_text('ascii').splitlines()
        assert len(lines) == 1
        event = parse_line(lines[0]).unwrap()
        assert (event.process, event.name) == ('e1', 'ShardMoved')
        assert event.fields == {
            'service': 'dat-hang',
            'shard': '3',
            'key': 'đơn 5\n',
            'rank': 'bulk-upload',
            'token': '2.7',
            'planned': 'true',
            'servers': 's1,s2',
        }

    def test_none(self, tmp_path: Path) -> None:
        """A field that is ``None`` is omitted; braces are kept as text."""
        path = tmp_path / 'events.log'
        log = LineEventLog.open('e1', HybridClock(), str(path), 'debug')
        log.emit(DebugEvent('{x} <red>'))
        log.close()
        event = parse_line(path.read_text()).unwrap()
        assert event.fields == {'key': '{x} <red>'}

    def test_level(self, tmp_path: Path) -> None:
        """An event below the level is not written, and takes no stamp."""
        path = tmp_path / 'events.log'
        clock = HybridClock(partial(int, 5))
        log = LineEventLog.open('e1', clock, str(path), 'info')
        log.emit(DebugEvent('a'))
        log.close()
        assert path.read_text() == ''
        assert clock.stamp() == HybridStamp(5, 0)

    def test_two_logs(self, tmp_path: Path) -> None:
        """Two logs in one process get their own events, with rising stamps."""
        paths = [tmp_path / name for name in ('e1', 'e2')]
        clock = HybridClock()
        logs = [
            LineEventLog.open(path.name, clock, str(path)) for path in paths
        ]
        for log in logs * 50:
            log.emit(SHARD_MOVED)
        logger.info('not an event')
        for log in logs:
            log.close()
        for path in paths:
            events = [
                parse_line(line).unwrap()
                for line in path.read_text().splitlines()
            ]
            assert {event.process for event in events} == {path.name}
            stamps = [event.stamp for event in events]
            assert stamps == sorted(set(stamps))
            assert len(stamps) == 50
