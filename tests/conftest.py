"""Shared fixtures, and the handling of the recorded red tests."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from trio.testing import MockClock

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_COMMENT = '#'
_SEPARATOR = '|'


def _known_red() -> dict[str, str]:
    """Return the recorded entries by test id."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [
        line for line in lines if line.strip() and not line.startswith(_COMMENT)
    ]
    return {entry.split(_SEPARATOR)[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect failure of just the tests that KNOWN-RED.txt names."""
    red = _known_red()
    for item in items:
        reason = red.get(item.nodeid)
        if reason:
            item.add_marker(pytest.mark.xfail(reason=reason))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the recorded red tests."""
    for entry in _known_red().values():
        terminalreporter.write_line(f'KNOWN-RED {entry}')


@pytest.fixture
def virtual_clock() -> Iterator[MockClock]:
    """A clock that jumps to the next wake-up when all tasks sleep."""
    yield MockClock(autojump_threshold=0)
