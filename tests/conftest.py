"""Shared fixtures, and expected failures from KNOWN-RED.txt."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from trio.testing import MockClock

_EXPECTED_FAILURES_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_COMMENT = '#'
_SEPARATOR = '|'


def _read_expected_failures() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    if not _EXPECTED_FAILURES_FILE.exists():
        return {}
    lines = _EXPECTED_FAILURES_FILE.read_text().splitlines()
    entries = [
        line for line in lines if line.strip() and not line.startswith(_COMMENT)
    ]
    return {entry.split(_SEPARATOR)[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures."""
    reasons_by_id = _read_expected_failures()
    for item in items:
        reason = reasons_by_id.get(item.nodeid)
        if reason:
            item.add_marker(pytest.mark.xfail(reason=reason))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the entries of KNOWN-RED.txt."""
    for entry in _read_expected_failures().values():
        terminalreporter.write_line(f'KNOWN-RED {entry}')


@pytest.fixture
def virtual_clock() -> Iterator[MockClock]:
    """A clock that jumps to the next wake-up when all tasks sleep."""
    yield MockClock(autojump_threshold=0)
