"""Tests of the checks of grants."""

import trio
from trio.testing import MockClock

from carobwalk.model import ServerId
from standins.backend import BackendSettings, BackendState, RunState
from tests.standins.backend.harness import FENCE, SERVICE, Caller, grant, run


class TestGrants:
    SETTINGS = BackendSettings(server=ServerId('server-1'), service=SERVICE)

    def test_fenced(self, virtual_clock: MockClock) -> None:
        """A request runs only with an admitted token and shard."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            assert (await caller.ask('GET', '/c/a')).status == 409
            assert (await caller.ask('GET', '/c/a', FENCE)).status == 409
            assert (await grant(caller, 1, 2)).refusal is None
            assert (await caller.ask('GET', '/c/a', FENCE)).status == 200
            await trio.sleep(2)
            answer = await caller.ask('GET', '/c/a', FENCE)
            assert answer.outcome == 'not-run fenced'
            assert state.runs == 1

        run(virtual_clock, self.SETTINGS, body)

    def test_expiry_while_waiting(self, virtual_clock: MockClock) -> None:
        """A request whose grant expires before it gets a slot is refused."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller, waiting = Caller(state, nursery), Caller(state, nursery)
            await grant(caller, 1, 2)
            for _ in range(4):
                await state.slots.acquire()
            await waiting.send('POST', '/c/a', FENCE)
            await trio.sleep(3)
            state.slots.release()
            assert (await waiting.answer()).outcome == 'not-run fenced'
            assert not state.runs

        run(virtual_clock, self.SETTINGS, body)

    def test_expiry_during_work(self, virtual_clock: MockClock) -> None:
        """A request whose grant expires during the work has no effect."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await grant(caller, 1, 2)
            answer = await caller.ask('POST', '/c/a?work_ms=3000', FENCE)
            assert answer.outcome == 'not-run fenced'
            assert state.log.records_by_number[1].state is RunState.REFUSED

        run(virtual_clock, self.SETTINGS, body)
