"""Tests of at-most-once execution of actions."""

import trio
from result import Err, Ok
from trio.testing import MockClock

from carobwalk.dispatch import DispatchPool
from carobwalk.model import (
    BodyError,
    FailureKind,
    FenceToken,
    Outcome,
)
from tests.dispatch.calls import call_of, uuid7
from tests.dispatch.fakes import FakeLeases, ListSink
from tests.dispatch.pools import context_of, forward, kind_and_outcome, pool_of
from tests.dispatch.scripted_upstream import ScriptedUpstream, Step

SKEW_SECONDS = 2
UNSETTLED = (FailureKind.REPEAT_UNSETTLED, Outcome.UNKNOWN)


async def start_lease(pool: DispatchPool) -> None:
    """Make the pool read its lease and wait until new keys are accepted.

    Keys are accepted as new once the maximum clock skew has passed.
    """
    old = call_of(b'claim', idempotency_key=uuid7(0))
    assert kind_and_outcome(await forward(pool, old)) == UNSETTLED
    await trio.sleep(SKEW_SECONDS)


class TestRepeat:
    def test_replays_response(self, virtual_clock: MockClock) -> None:
        """A repeat gets the stored response and is not sent."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            sinks = [ListSink(), ListSink()]
            for sink in sinks:
                call = call_of(b'claim', idempotency_key=key)
                assert isinstance(await forward(pool, call, sink), Ok)
            assert {sink.body for sink in sinks} == {b'answer 1'}
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_waits_for_request_in_flight(
        self, virtual_clock: MockClock
    ) -> None:
        """Repeats wait for a first request that is still running."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            sinks = [ListSink() for _ in range(5)]
            async with trio.open_nursery() as nursery:
                for sink in sinks:
                    call = call_of(b'claim', idempotency_key=key)
                    nursery.start_soon(forward, pool, call, sink)
            assert {sink.body for sink in sinks} == {b'answer 1'}
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_after_lost_connection(self, virtual_clock: MockClock) -> None:
        """A repeat is unknown if the connection of the first was lost."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.CRASH])
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            first, repeat = [
                kind_and_outcome(
                    await forward(pool, call_of(b'claim', idempotency_key=key)),
                )
                for _ in range(2)
            ]
            assert first == (FailureKind.SERVER_LOST, Outcome.UNKNOWN)
            assert repeat == UNSETTLED
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_after_refusal_is_sent(self, virtual_clock: MockClock) -> None:
        """An action that the server refused is sent when it is repeated."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.SHED])
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            refused = await forward(
                pool, call_of(b'claim', idempotency_key=key)
            )
            assert kind_and_outcome(refused) == (
                FailureKind.SHED,
                Outcome.NOT_RUN,
            )
            repeat = await forward(pool, call_of(b'claim', idempotency_key=key))
            assert isinstance(repeat, Ok)

        trio.run(case, clock=virtual_clock)

    def test_key_of_another_request(self, virtual_clock: MockClock) -> None:
        """A key that was used for another request is refused."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            results = [
                await forward(
                    pool, call_of(b'x', idempotency_key=key, target=target)
                )
                for target in ('/a', '/b')
            ]
            expected = (FailureKind.BAD_REQUEST, Outcome.NOT_RUN)
            assert kind_and_outcome(results[1]) == expected

        trio.run(case, clock=virtual_clock)

    def test_after_caller_disconnected(self, virtual_clock: MockClock) -> None:
        """An action continues after its caller disconnects, for repeats."""

        async def case() -> None:
            upstream = ScriptedUpstream(seconds=1)
            pool = pool_of(upstream)
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await start_lease(pool)
                key = uuid7(trio.current_time())
                with trio.move_on_after(0.5):
                    await forward(pool, call_of(b'claim', idempotency_key=key))
                sink = ListSink()
                repeat = await forward(
                    pool, call_of(b'claim', idempotency_key=key), sink
                )
                nursery.cancel_scope.cancel()
            assert isinstance(repeat, Ok)
            assert sink.body == b'answer 1'
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_deadline_while_waiting(self, virtual_clock: MockClock) -> None:
        """A repeat that waits beyond its deadline is unknown."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.FREEZE])
            pool = pool_of(upstream)
            await start_lease(pool)
            key = uuid7(trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    forward, pool, call_of(b'claim', idempotency_key=key)
                )
                await trio.sleep(0.1)
                repeat = await forward(
                    pool, call_of(b'claim', idempotency_key=key, deadline=1)
                )
            assert kind_and_outcome(repeat) == (
                FailureKind.DEADLINE,
                Outcome.UNKNOWN,
            )

        trio.run(case, clock=virtual_clock)


class TestLease:
    def test_change_rejects_older_keys(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """An action with a key older than the current lease is not sent."""

        async def case() -> None:
            leases = FakeLeases()
            upstream = ScriptedUpstream()
            pool = pool_of(upstream, context_of(leases))
            await start_lease(pool)
            key = uuid7(trio.current_time())
            leases.result = Ok(FenceToken(epoch=4, sequence=1))
            result = await forward(pool, call_of(b'claim', idempotency_key=key))
            assert kind_and_outcome(result) == UNSETTLED
            assert not upstream.runs

        trio.run(case, clock=virtual_clock)

    def test_change_while_queued(self, virtual_clock: MockClock) -> None:
        """An action is not sent if the lease changes while it is queued."""

        async def case() -> None:
            leases = FakeLeases()
            upstream = ScriptedUpstream([Step.REFUSE_CONNECTION])
            pool = pool_of(upstream, context_of(leases))
            await start_lease(pool)
            await forward(pool, call_of(b'x'))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    forward, pool, call_of(b'holds the only slot')
                )
                await trio.sleep(0.01)
                nursery.start_soon(_change_lease, leases)
                result = await forward(
                    pool,
                    call_of(
                        b'claim',
                        idempotency_key=uuid7(trio.current_time()),
                    ),
                )
            expected = (FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN)
            assert kind_and_outcome(result) == expected
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_opaque_key(self, virtual_clock: MockClock) -> None:
        """A key without a timestamp counts as new only after two minutes."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            call = call_of(b'claim', idempotency_key='opaque')
            result = await forward(pool, call)
            assert kind_and_outcome(result) == UNSETTLED
            await trio.sleep(121)
            call = call_of(b'claim', idempotency_key='opaque')
            result = await forward(pool, call)
            assert isinstance(result, Ok)

        trio.run(case, clock=virtual_clock)


async def _change_lease(leases: FakeLeases) -> None:
    leases.result = Ok(FenceToken(epoch=4, sequence=1))


class TestPool:
    def test_after_its_tasks_ended(self, virtual_clock: MockClock) -> None:
        """An action that arrives after the pool's tasks ended still runs."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await start_lease(pool)
                nursery.cancel_scope.cancel()
            call = call_of(b'x', idempotency_key=uuid7(trio.current_time()))
            result = await forward(pool, call)
            assert isinstance(result, Ok)

        trio.run(case, clock=virtual_clock)


class TestCaller:
    def test_disconnects_during_body(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """An action with an incomplete body ends with an unknown outcome."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await start_lease(pool)
                key = uuid7(trio.current_time())
                call = call_of(
                    b'half',
                    BodyError('left'),
                    body_length=9,
                    idempotency_key=key,
                )
                result = await forward(pool, call)
                nursery.cancel_scope.cancel()
            assert isinstance(result, Err)
            assert result.err_value.outcome is Outcome.UNKNOWN

        trio.run(case, clock=virtual_clock)
