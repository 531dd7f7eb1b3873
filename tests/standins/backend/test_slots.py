"""Tests of slots, draining and the limit on connections."""

from collections import Counter

import pytest
import trio
from trio.testing import MockClock

from standins.backend import BackendState
from tests.standins.backend.harness import SETTINGS, Answer, Caller, run


class TestSlots:
    def test_shed(self, virtual_clock: MockClock) -> None:
        """Requests beyond the slots and the backlog are shed and do not run."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            callers = [Caller(state, nursery) for _ in range(10)]
            answers: list[Answer] = []

            async def ask(caller: Caller) -> None:
                answers.append(await caller.ask('GET', '/c/a?work_ms=1000'))

            async with trio.open_nursery() as asking:
                for caller in callers:
                    asking.start_soon(ask, caller)
            outcomes = Counter(answer.outcome for answer in answers)
            assert outcomes == {'': 8, 'not-run shed': 2}
            assert state.runs == 8
            assert trio.current_time() == pytest.approx(2, abs=0.1)

        run(virtual_clock, SETTINGS, body)

    def test_drain(self, virtual_clock: MockClock) -> None:
        """A draining server refuses new requests and reports unhealthy."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            assert (await caller.ask('POST', '/_control/drain')).status == 204
            answer = await caller.ask('GET', '/c/a')
            assert answer.outcome == 'not-run draining'
            assert (await caller.ask('GET', '/health')).status == 503
            assert not state.runs

        run(virtual_clock, SETTINGS, body)

    def test_connections(self, virtual_clock: MockClock) -> None:
        """A connection above the limit is closed at once."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            state.connections = 130
            caller = Caller(state, nursery)
            assert await caller.stream.receive_some() == b''

        run(virtual_clock, SETTINGS, body)
