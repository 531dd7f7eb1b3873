"""Fixtures of the tests of the soak."""

from collections.abc import Callable
from pathlib import Path

import pytest
import trio
from trio.testing import MockClock

from soak._event_file import EventFile
from soak._freeze_watch import FreezeWatch
from tests.fault_soak.recovery_fleet import Fleet


@pytest.fixture
def recover(monkeypatch, tmp_path: Path) -> Callable[[Fleet], list[str]]:
    """Return a function that runs the check on a virtual clock."""

    def run(fleet: Fleet) -> list[str]:
        monkeypatch.setattr('soak._recovery.Caller', fleet.caller)
        fleet.freeze_watch = FreezeWatch(EventFile(tmp_path / 'soak.log'))
        clock = MockClock(autojump_threshold=0)
        trio.run(fleet.recover, clock, clock=clock)
        lines = fleet.checker.violations
        return [line.split(maxsplit=1)[1] for line in lines]

    return run
