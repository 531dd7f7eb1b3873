"""Tests of faulty responses."""

import pytest
import trio
from trio.testing import MockClock

from standins.backend import BackendState, RunState
from tests.standins.backend.harness import SETTINGS, Caller, run


class TestFaults:
    @pytest.mark.parametrize(
        ('fault', 'final_state'),
        [
            ('break', RunState.ABORTED),
            ('silent', RunState.COMMITTED),
            ('cut', RunState.COMMITTED),
        ],
    )
    def test_incomplete_response(
        self,
        virtual_clock: MockClock,
        fault: str,
        final_state: RunState,
    ) -> None:
        """A faulty response is incomplete; the record has the progress."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await caller.send('POST', f'/c/a?fault={fault}')
            if fault == 'cut':
                assert not (await caller.answer()).is_whole
            else:
                assert await caller.stream.receive_some() == b''
            assert state.log.records_by_number[1].state is final_state

        run(virtual_clock, SETTINGS, body)
