"""Tests of the soak: short runs with real processes, and the schedule."""

from dataclasses import replace
from pathlib import Path

import pytest
import trio

from soak._faults import make_schedule
from soak._plan import PLANS_BY_NAME, SoakPlan
from soak._run import run_seed

# Regression seeds, each with the fault that it revealed.
FAILED_SEEDS = (
    3,  # a lost read was reported as 'not run' once its key had no owner
    30,  # the wait for an unanswered release went on with other ranges
    34,  # changes of a key map were applied to a different base version
)
SHORT = SoakPlan(routers=2, seconds=4, faults=6)
FULL = SoakPlan()
# Regression seeds of the full size.
FAILED_FULL_SEEDS = (
    77203,  # a 503 before the first configuration counted as a version
)
FAILED_OWNERSHIP_SEEDS = (
    2,  # the undo of an unsent grant wiped out reported bounds
    13,  # the same, with a successor that passed the wiped bounds on
)
NOTICE_SEEDS = (1,)
PLANTED_SEED = 4


class TestSoak:
    @pytest.mark.parametrize('seed', [*FAILED_SEEDS, 1001])
    def test_no_promise_is_broken(self, seed: int, tmp_path: Path) -> None:
        """No guarantee to callers and servers is violated."""
        outcome = trio.run(run_seed, seed, SHORT, tmp_path)
        assert outcome.violations == ()
        assert outcome.faults.total() == SHORT.faults
        assert outcome.answers_by_status['200'] > 0

    @pytest.mark.parametrize('seed', FAILED_FULL_SEEDS)
    def test_no_promise_is_broken_at_full_size(
        self, seed: int, tmp_path: Path
    ) -> None:
        """No guarantee is violated in a run of the usual size."""
        outcome = trio.run(run_seed, seed, FULL, tmp_path)
        assert outcome.violations == ()
        assert outcome.faults.total() == FULL.faults

    @pytest.mark.parametrize('seed', FAILED_OWNERSHIP_SEEDS)
    def test_no_key_has_two_owners(self, seed: int, tmp_path: Path) -> None:
        """No guarantee is violated while coordinators change and paths fail."""
        plan = PLANS_BY_NAME['ownership']
        outcome = trio.run(run_seed, seed, plan, tmp_path)
        assert outcome.violations == ()
        assert outcome.faults.total() == plan.faults

    @pytest.mark.parametrize('seed', NOTICE_SEEDS)
    def test_notices_are_obeyed(self, seed: int, tmp_path: Path) -> None:
        """No guarantee is violated while servers limit requests and leave."""
        plan = PLANS_BY_NAME['notices']
        outcome = trio.run(run_seed, seed, plan, tmp_path)
        assert outcome.violations == ()
        assert outcome.faults.total() == plan.faults

    def test_ignored_notices_are_found(self, tmp_path: Path) -> None:
        """Routers that do not read servers' notices are detected."""
        plan = replace(
            PLANS_BY_NAME['notices'], module=('soak.planted', 'ignores-notices')
        )
        outcome = trio.run(run_seed, NOTICE_SEEDS[0], plan, tmp_path)
        assert any('sent ' in line for line in outcome.violations)

    def test_forgotten_grants_of_the_predecessor_are_found(
        self, tmp_path: Path
    ) -> None:
        """Coordinators that ignore their predecessor's grants are detected."""
        plan = replace(
            PLANS_BY_NAME['long-cuts'],
            module=('soak.planted', 'forgets-inherited'),
        )
        outcome = trio.run(run_seed, PLANTED_SEED, plan, tmp_path)
        assert any('two owners' in line for line in outcome.violations)

    def test_answers_without_a_line_are_found(self, tmp_path: Path) -> None:
        """Routers that do not log their answers are detected."""
        plan = SoakPlan(
            routers=1,
            seconds=1,
            faults=0,
            module=('soak.planted', 'silent-answers'),
        )
        outcome = trio.run(run_seed, PLANTED_SEED, plan, tmp_path)
        lines = outcome.violations
        assert any('answer not in the log' in line for line in lines)


class TestSchedule:
    def test_depends_on_the_seed_alone(self) -> None:
        """Equal seeds give equal schedules; different seeds differ."""
        first = make_schedule(7, 8, 12)
        assert first == make_schedule(7, 8, 12)
        assert first != make_schedule(8, 8, 12)
        assert len(first) == 12
        assert all(0 <= fault.start_seconds <= 8 for fault in first)
