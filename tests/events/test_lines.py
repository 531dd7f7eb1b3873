"""Tests of log lines."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok

from carobwalk.events import (
    HybridStamp,
    LoggedEvent,
    format_line,
    parse_line,
    parse_stamp,
)

ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=40)
NAMES = st.from_regex('[a-z_][a-z0-9_]{0,12}', fullmatch=True)
COUNTS = st.integers(0, 10**17)
EVENTS = st.builds(
    LoggedEvent,
    process=ANY_TEXT,
    stamp=st.builds(HybridStamp, COUNTS, COUNTS),
    name=ANY_TEXT,
    fields=st.dictionaries(NAMES, ANY_TEXT, max_size=5),
)


class TestLines:
    def test_format(self) -> None:
        """A line shows process, times, name and fields, quoted as needed."""
        event = LoggedEvent(
            'e1',
            HybridStamp(1_700_000_000_000_001, 2),
            'RequestEnded',
            {'key': 'a=b "c"\n', 'server': '10.0.0.1:80', 'note': ''},
        )
        assert format_line(event) == (
            'process=e1 hlc=1700000000000001.2 '
            'wall=2023-11-14T22:13:20.000001+00:00 event=RequestEnded '
            r'key="a=b \"c\"\n" server=10.0.0.1:80 note=""'
        )

    @seed(1)
    @settings(max_examples=1000, deadline=None, database=None)
    @given(EVENTS)
    def test_round_trip(self, event: LoggedEvent) -> None:
        """Every line is printable ASCII and parses to the same event."""
        line = format_line(event)
        assert line.isascii()
        assert line.isprintable()
        assert parse_line(line) == Ok(event)

    @seed(1)
    @settings(max_examples=500, deadline=None, database=None)
    @given(EVENTS, st.integers(0, 200))
    def test_truncated(self, event: LoggedEvent, length: int) -> None:
        """A truncated line is an error or parses to a partial event."""
        line = format_line(event)[:length]
        outcome = parse_line(line)
        if isinstance(outcome, Ok):
            assert line.startswith('process=')
        else:
            assert outcome.err_value.detail

    @pytest.mark.parametrize(
        'line',
        [
            '',
            'Traceback (most recent call last):',
            'process=a hlc=1.1 event=x wall=y',
            'process=a hlc=1 wall=x event=y',
            'process=a hlc=1.1 wall=x event=y key="a',
            'process=a hlc=1.1 wall=x event=y key="a"b',
            r'process=a hlc=1.1 wall=x event=y key="\q"',
            'process=a  hlc=1.1 wall=x event=y',
        ],
    )
    def test_malformed_line(self, line: str) -> None:
        """A malformed line gives an error value."""
        assert isinstance(parse_line(line), Err)


class TestParseStamp:
    @pytest.mark.parametrize('text', ['', '1', '1.', '.1', '-1.0', '1.2.3'])
    def test_malformed_stamp(self, text: str) -> None:
        """A malformed text gives ``None``."""
        assert parse_stamp(text) is None
