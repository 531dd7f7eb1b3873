"""Tests of retries, invariants, draining and the choice of servers."""

import pytest
import trio
from result import Err, Ok
from trio.testing import MockClock

from carobwalk.dispatch import (
    DispatchPool,
    DoubleSendError,
    FalseNotRunError,
    SendGate,
    ServerChooser,
    Tenure,
    Unanswered,
)
from carobwalk.dispatch._failures import failure_of
from carobwalk.model import (
    Completion,
    Failure,
    FailureKind,
    FenceToken,
    Outcome,
    Rank,
    ServerId,
    TrioClock,
)
from tests.dispatch.fakes import (
    ListSink,
    ScriptedUpstream,
    Step,
    call_of,
    endpoint_of,
    placement_of,
    pool_of,
    told,
)

PLACEMENT = placement_of(endpoint_of('server-1'))
TENURE = Tenure(FenceToken(1, 1), FenceToken(1, 1))


async def succeed(pool: DispatchPool, times: int) -> None:
    """Earn retries with successes."""
    for _ in range(times):
        ending = await pool.forward(call_of(), PLACEMENT, ListSink())
        assert isinstance(ending, Ok)


class TestRetry:
    @pytest.mark.parametrize('successes', [0, 20])
    def test_needs_budget(
        self,
        successes: int,
        virtual_clock: MockClock,
    ) -> None:
        """An idempotent request is retried only against past successes."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, successes)
            upstream.steps = [Step.CRASH]
            call = call_of(rank=Rank.LOOKUP, idempotent=True)
            ending = await pool.forward(call, PLACEMENT, ListSink())
            assert isinstance(ending, Ok) == bool(successes)

        trio.run(case, clock=virtual_clock)

    def test_never_of_a_sent_action(self, virtual_clock: MockClock) -> None:
        """A non-idempotent request is not retried once it was sent."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 20)
            upstream.steps = [Step.CRASH]
            ending = await pool.forward(call_of(), PLACEMENT, ListSink())
            assert told(ending) == (FailureKind.SERVER_LOST, Outcome.UNKNOWN)
            assert len(upstream.runs) == 21

        trio.run(case, clock=virtual_clock)

    def test_of_an_action_not_sent(self, virtual_clock: MockClock) -> None:
        """A request that found no connection is retried."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 20)
            upstream.steps = [Step.REFUSE_CONNECTION]
            ending = await pool.forward(call_of(), PLACEMENT, ListSink())
            assert isinstance(ending, Ok)

        trio.run(case, clock=virtual_clock)

    def test_shed_after_a_loss_is_unknown(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A refusal does not undo an earlier send that may have run."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 10)
            upstream.steps = [Step.CRASH, Step.SHED]
            call = call_of(rank=Rank.LOOKUP, idempotent=True)
            ending = await pool.forward(call, PLACEMENT, ListSink())
            assert told(ending) == (FailureKind.SHED, Outcome.UNKNOWN)

        trio.run(case, clock=virtual_clock)


class TestInvariants:
    def test_second_send(self) -> None:
        """The gate does not open twice for a non-idempotent request."""
        gate = SendGate(lambda: Ok(TENURE), idempotent=False, name='r')
        gate.open()
        with pytest.raises(DoubleSendError):
            gate.open()

    def test_false_not_run(self) -> None:
        """A lost connection is never called not run."""
        gate = SendGate(lambda: Ok(TENURE), idempotent=False, name='r')
        with pytest.raises(FalseNotRunError):
            failure_of(Unanswered('lost'), gate)
        with pytest.raises(FalseNotRunError):
            gate.disown()


class TestDrain:
    def test_finishes_what_runs(self, virtual_clock: MockClock) -> None:
        """A stop refuses new requests and cuts none off."""

        async def case() -> None:
            upstream = ScriptedUpstream(seconds=3)
            pool = pool_of(upstream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    pool.forward,
                    call_of(),
                    PLACEMENT,
                    ListSink(),
                )
                await trio.sleep(1)
                nursery.start_soon(pool.drain, 10)
                await trio.sleep(0.1)
                late = await pool.forward(call_of(), PLACEMENT, ListSink())
            assert told(late) == (FailureKind.STOPPING, Outcome.NOT_RUN)
            assert pool.present == 0
            assert trio.current_time() < 4

        trio.run(case, clock=virtual_clock)


LOST = Err(Failure(FailureKind.SERVER_LOST, Outcome.UNKNOWN, 'test'))
FULL = Err(Failure(FailureKind.QUEUE_FULL, Outcome.NOT_RUN, 'test'))
DONE = Ok(Completion(200, ServerId('server'), 0, 0))


class TestChooser:
    def test_ejects_at_most_a_third(self, virtual_clock: MockClock) -> None:
        """Losses of all servers eject a third of them."""

        async def case() -> None:
            chooser = ServerChooser(TrioClock())
            placements = [
                placement_of(endpoint_of(f'server-{number}'))
                for number in range(6)
            ]
            for placement in placements:
                for _ in range(3):
                    chooser.record(placement, LOST, 1)
            assert len(chooser.ejected(placements)) == 2
            assert chooser.choose(placements) is not None

        trio.run(case, clock=virtual_clock)

    def test_leaves_the_region_last(self, virtual_clock: MockClock) -> None:
        """Another region is taken only while the own one refuses."""

        async def case() -> None:
            chooser = ServerChooser(TrioClock())
            near, far = (
                placement_of(endpoint_of(f'server-{region}', region))
                for region in ('north', 'south')
            )
            chooser.record(near, DONE, 9)
            chooser.record(far, DONE, 1)
            assert chooser.choose([near, far]) is near
            chooser.record(near, FULL, 0)
            assert chooser.choose([near, far]) is far
            await trio.sleep(2)
            assert chooser.choose([near, far]) is near

        trio.run(case, clock=virtual_clock)

    def test_silent_server(self, virtual_clock: MockClock) -> None:
        """A server that has work and answers nothing is ejected."""

        async def case() -> None:
            chooser = ServerChooser(TrioClock())
            placements = [
                placement_of(endpoint_of(f'server-{number}'))
                for number in range(3)
            ]
            with chooser.sending(placements[0]):
                await trio.sleep(3)
                assert chooser.ejected(placements) == {'server-0'}

        trio.run(case, clock=virtual_clock)


class TestSuspicion:
    def test_of_a_server(self, virtual_clock: MockClock) -> None:
        """A server that only loses requests is suspected until it answers."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.CRASH, Step.CRASH, Step.CRASH])
            pool = pool_of(upstream)
            for number in range(3):
                call = call_of(target=f'/{number}')
                await pool.forward(call, PLACEMENT, ListSink())
            assert pool.suspected == {'server-1'}
            await succeed(pool, 1)
            assert not pool.suspected

        trio.run(case, clock=virtual_clock)
