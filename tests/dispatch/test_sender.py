"""Tests of retries, send invariants, draining and server selection."""

import pytest
import trio
from result import Err, Ok
from trio.testing import MockClock

from carobwalk.dispatch import (
    DispatchPool,
    DoubleSendError,
    FalseNotRunError,
    SendGate,
    SendTokens,
    ServerChooser,
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
from tests.dispatch.calls import call_of, endpoint_of, placement_of
from tests.dispatch.pools import forward, kind_and_outcome, pool_of
from tests.dispatch.scripted_upstream import ScriptedUpstream, Step

TOKENS = SendTokens(FenceToken(1, 1), FenceToken(1, 1))


async def succeed(pool: DispatchPool, times: int) -> None:
    """Fill the retry budget with successful requests."""
    for _ in range(times):
        result = await forward(pool, call_of())
        assert isinstance(result, Ok)


class TestRetry:
    @pytest.mark.parametrize('successes', [0, 20])
    def test_needs_budget(
        self,
        successes: int,
        virtual_clock: MockClock,
    ) -> None:
        """A retry needs a budget earned by earlier successes."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, successes)
            upstream.steps = [Step.CRASH]
            call = call_of(rank=Rank.LOOKUP, idempotent=True)
            result = await forward(pool, call)
            assert isinstance(result, Ok) == bool(successes)

        trio.run(case, clock=virtual_clock)

    def test_not_after_non_idempotent_send(
        self, virtual_clock: MockClock
    ) -> None:
        """A non-idempotent request is not retried after it was sent."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 20)
            upstream.steps = [Step.CRASH]
            result = await forward(pool, call_of())
            assert kind_and_outcome(result) == (
                FailureKind.SERVER_LOST,
                Outcome.UNKNOWN,
            )
            assert len(upstream.runs) == 21

        trio.run(case, clock=virtual_clock)

    def test_after_refused_connection(self, virtual_clock: MockClock) -> None:
        """A request whose connection was refused is retried."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 20)
            upstream.steps = [Step.REFUSE_CONNECTION]
            result = await forward(pool, call_of())
            assert isinstance(result, Ok)

        trio.run(case, clock=virtual_clock)

    def test_shed_after_a_loss_is_unknown(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A refused retry leaves the outcome of the first send unknown."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await succeed(pool, 10)
            upstream.steps = [Step.CRASH, Step.SHED]
            call = call_of(rank=Rank.LOOKUP, idempotent=True)
            result = await forward(pool, call)
            assert kind_and_outcome(result) == (
                FailureKind.SHED,
                Outcome.UNKNOWN,
            )

        trio.run(case, clock=virtual_clock)


class TestInvariants:
    def test_second_send(self) -> None:
        """A second send of a non-idempotent request raises an error."""
        gate = SendGate(lambda: Ok(TOKENS), idempotent=False, name='r')
        gate.open()
        with pytest.raises(DoubleSendError):
            gate.open()

    def test_false_not_run(self) -> None:
        """Reporting a lost request as not run raises an error."""
        gate = SendGate(lambda: Ok(TOKENS), idempotent=False, name='r')
        with pytest.raises(FalseNotRunError):
            failure_of(Unanswered('lost'), gate)
        with pytest.raises(FalseNotRunError):
            gate.record_refusal()


class TestDrain:
    def test_finishes_requests_in_flight(
        self, virtual_clock: MockClock
    ) -> None:
        """Draining refuses new requests and lets running ones finish."""

        async def case() -> None:
            upstream = ScriptedUpstream(seconds=3)
            pool = pool_of(upstream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(forward, pool, call_of())
                await trio.sleep(1)
                nursery.start_soon(pool.drain, 10)
                await trio.sleep(0.1)
                late = await forward(pool, call_of())
            assert kind_and_outcome(late) == (
                FailureKind.STOPPING,
                Outcome.NOT_RUN,
            )
            assert pool.in_flight == 0
            assert trio.current_time() < 4

        trio.run(case, clock=virtual_clock)


LOST = Err(Failure(FailureKind.SERVER_LOST, Outcome.UNKNOWN, 'test'))
FULL = Err(Failure(FailureKind.QUEUE_FULL, Outcome.NOT_RUN, 'test'))
DONE = Ok(Completion(200, ServerId('server'), 0, 0))


class TestChooser:
    def test_ejects_at_most_a_third(self, virtual_clock: MockClock) -> None:
        """At most a third of the servers is ejected even if all fail."""

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

    def test_prefers_own_region(self, virtual_clock: MockClock) -> None:
        """Another region is used only while the nearest one refuses."""

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

    def test_ejects_unresponsive_server(self, virtual_clock: MockClock) -> None:
        """A server with requests in flight that never responds is ejected."""

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


class TestServerHealth:
    def test_suspected_until_it_responds(
        self, virtual_clock: MockClock
    ) -> None:
        """A server that fails repeatedly is suspected until it responds."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.CRASH, Step.CRASH, Step.CRASH])
            pool = pool_of(upstream)
            for number in range(3):
                call = call_of(target=f'/{number}')
                await forward(pool, call)
            assert pool.suspected == {'server-1'}
            await succeed(pool, 1)
            assert not pool.suspected

        trio.run(case, clock=virtual_clock)
