"""Randomised replication under concurrent writes and faults."""

import pytest
import trio
from trio.testing import MockClock

from benchmarks._config_trial import TrialReport, TrialSettings, run_trial

_PROCESSES = 12
_CHANGES = 150


def _run(clock: MockClock, seed: int) -> TrialReport:
    settings = TrialSettings(
        seed=seed,
        processes=_PROCESSES,
        changes=_CHANGES,
        pause=0.6,
    )
    report: TrialReport = trio.run(run_trial, settings, clock=clock)
    return report


class TestRandomisedReplication:
    """Operators write concurrently while store, links and processes fail."""

    @pytest.mark.parametrize('seed', range(8))
    def test_faults(self, virtual_clock: MockClock, seed: int) -> None:
        """Accepted changes are not lost, reverted, duplicated or late."""
        report = _run(virtual_clock, seed)
        findings = report.findings
        assert len(findings.accepted) >= _CHANGES
        assert findings.refused
        assert not report.lost
        assert not report.reverted
        assert not findings.fallen
        assert not findings.diverged
        assert not findings.late

    def test_same_seed_gives_the_same_run(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A run is reproducible from its seed."""
        first = _run(virtual_clock, 3)
        again = _run(MockClock(autojump_threshold=0), 3)
        assert first == again
