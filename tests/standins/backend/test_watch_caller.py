"""Tests of requests that are cancelled."""

import pytest
import trio
from trio.testing import MockClock

from standins.backend import BackendState, RunState
from tests.standins.backend.harness import SETTINGS, Caller, run


class TestCancel:
    def test_caller_gone(self, virtual_clock: MockClock) -> None:
        """A request whose caller disconnects during the work has no effect."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await caller.send('POST', '/c/a?work_ms=5000')
            await trio.sleep(1)
            await caller.stream.aclose()
            await trio.sleep(1)
            assert state.log.records_by_number[1].state is RunState.ABORTED
            assert state.slots.is_empty

        run(virtual_clock, SETTINGS, body)

    def test_deadline(self, virtual_clock: MockClock) -> None:
        """A request that exceeds its deadline is reported as not run."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            headers = (('carobwalk-deadline-ms', '500'),)
            answer = await caller.ask('GET', '/c/a?work_ms=5000', headers)
            assert answer.outcome == 'not-run deadline'
            assert trio.current_time() == pytest.approx(0.5, abs=0.1)
            assert state.log.records_by_number[1].state is RunState.ABORTED

        run(virtual_clock, SETTINGS, body)
