"""Tests of actions that are sent at most once."""

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
from tests.dispatch.fakes import (
    FakeLeases,
    ListSink,
    ScriptedUpstream,
    Step,
    call_of,
    context_of,
    endpoint_of,
    placement_of,
    pool_of,
    told,
    uuid7,
)

PLACEMENT = placement_of(endpoint_of('server-1'))
FRESH_SECONDS = 2
UNSETTLED = (FailureKind.REPEAT_UNSETTLED, Outcome.UNKNOWN)


async def begin_tenure(pool: DispatchPool) -> None:
    """Let the pool see its lease, then let the clocks' skew pass."""
    old = call_of(b'claim', idempotency_key=uuid7(0))
    assert told(await pool.forward(old, PLACEMENT, ListSink())) == UNSETTLED
    await trio.sleep(FRESH_SECONDS)


class TestRepeat:
    def test_gets_the_first_answer(self, virtual_clock: MockClock) -> None:
        """A repeat gets the first answer and is not sent."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            sinks = [ListSink(), ListSink()]
            for sink in sinks:
                call = call_of(b'claim', idempotency_key=key)
                assert isinstance(
                    await pool.forward(call, PLACEMENT, sink),
                    Ok,
                )
            assert {sink.body for sink in sinks} == {b'answer 1'}
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_joins_the_first_in_flight(self, virtual_clock: MockClock) -> None:
        """Repeats that arrive while the first one runs wait for it."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            sinks = [ListSink() for _ in range(5)]
            async with trio.open_nursery() as nursery:
                for sink in sinks:
                    call = call_of(b'claim', idempotency_key=key)
                    nursery.start_soon(pool.forward, call, PLACEMENT, sink)
            assert {sink.body for sink in sinks} == {b'answer 1'}
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_of_a_lost_one_is_unknown(self, virtual_clock: MockClock) -> None:
        """Nobody knows whether an action ran that lost its connection."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.CRASH])
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            first, repeat = [
                told(
                    await pool.forward(
                        call_of(b'claim', idempotency_key=key),
                        PLACEMENT,
                        ListSink(),
                    ),
                )
                for _ in range(2)
            ]
            assert first == (FailureKind.SERVER_LOST, Outcome.UNKNOWN)
            assert repeat == UNSETTLED
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_of_one_not_run_is_sent(self, virtual_clock: MockClock) -> None:
        """An action that the server refused may be repeated."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.SHED])
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            refused = await pool.forward(
                call_of(b'claim', idempotency_key=key),
                PLACEMENT,
                ListSink(),
            )
            assert told(refused) == (FailureKind.SHED, Outcome.NOT_RUN)
            repeat = await pool.forward(
                call_of(b'claim', idempotency_key=key),
                PLACEMENT,
                ListSink(),
            )
            assert isinstance(repeat, Ok)

        trio.run(case, clock=virtual_clock)

    def test_for_another_request(self, virtual_clock: MockClock) -> None:
        """A key used for another request is refused."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            endings = [
                await pool.forward(
                    call_of(b'x', idempotency_key=key, target=target),
                    PLACEMENT,
                    ListSink(),
                )
                for target in ('/a', '/b')
            ]
            expected = (FailureKind.BAD_REQUEST, Outcome.NOT_RUN)
            assert told(endings[1]) == expected

        trio.run(case, clock=virtual_clock)

    def test_learns_the_outcome_later(self, virtual_clock: MockClock) -> None:
        """An action runs on when its caller leaves, for the repeat."""

        async def case() -> None:
            upstream = ScriptedUpstream(seconds=1)
            pool = pool_of(upstream)
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await begin_tenure(pool)
                key = uuid7(trio.current_time())
                with trio.move_on_after(0.5):
                    await pool.forward(
                        call_of(b'claim', idempotency_key=key),
                        PLACEMENT,
                        ListSink(),
                    )
                sink = ListSink()
                repeat = await pool.forward(
                    call_of(b'claim', idempotency_key=key),
                    PLACEMENT,
                    sink,
                )
                nursery.cancel_scope.cancel()
            assert isinstance(repeat, Ok)
            assert sink.body == b'answer 1'
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_deadline_of_a_joined_one(self, virtual_clock: MockClock) -> None:
        """A repeat that waits too long for the first one is unknown."""

        async def case() -> None:
            upstream = ScriptedUpstream([Step.FREEZE])
            pool = pool_of(upstream)
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    pool.forward,
                    call_of(b'claim', idempotency_key=key),
                    PLACEMENT,
                    ListSink(),
                )
                await trio.sleep(0.1)
                repeat = await pool.forward(
                    call_of(b'claim', idempotency_key=key, deadline=1),
                    PLACEMENT,
                    ListSink(),
                )
            assert told(repeat) == (FailureKind.DEADLINE, Outcome.UNKNOWN)

        trio.run(case, clock=virtual_clock)


class TestTenure:
    def test_change_makes_old_keys_unknown(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Keys made before a change of lease are not sent."""

        async def case() -> None:
            leases = FakeLeases()
            upstream = ScriptedUpstream()
            pool = pool_of(upstream, context_of(leases))
            await begin_tenure(pool)
            key = uuid7(trio.current_time())
            leases.answer = Ok(FenceToken(epoch=4, sequence=1))
            ending = await pool.forward(
                call_of(b'claim', idempotency_key=key),
                PLACEMENT,
                ListSink(),
            )
            assert told(ending) == UNSETTLED
            assert not upstream.runs

        trio.run(case, clock=virtual_clock)

    def test_change_while_waiting(self, virtual_clock: MockClock) -> None:
        """An action is not sent under another lease than it came under."""

        async def case() -> None:
            leases = FakeLeases()
            upstream = ScriptedUpstream([Step.REFUSE_CONNECTION])
            pool = pool_of(upstream, context_of(leases))
            await begin_tenure(pool)
            await pool.forward(call_of(b'x'), PLACEMENT, ListSink())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    pool.forward,
                    call_of(b'holds the only slot'),
                    PLACEMENT,
                    ListSink(),
                )
                await trio.sleep(0.01)
                nursery.start_soon(_change, leases)
                ending = await pool.forward(
                    call_of(
                        b'claim',
                        idempotency_key=uuid7(trio.current_time()),
                    ),
                    PLACEMENT,
                    ListSink(),
                )
            expected = (FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN)
            assert told(ending) == expected
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)

    def test_opaque_key(self, virtual_clock: MockClock) -> None:
        """A key without its time counts as new only after a while."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            call = call_of(b'claim', idempotency_key='opaque')
            ending = await pool.forward(call, PLACEMENT, ListSink())
            assert told(ending) == UNSETTLED
            await trio.sleep(121)
            call = call_of(b'claim', idempotency_key='opaque')
            ending = await pool.forward(call, PLACEMENT, ListSink())
            assert isinstance(ending, Ok)

        trio.run(case, clock=virtual_clock)


async def _change(leases: FakeLeases) -> None:
    leases.answer = Ok(FenceToken(epoch=4, sequence=1))


class TestPool:
    def test_that_ended(self, virtual_clock: MockClock) -> None:
        """An action that comes after the pool's tasks still runs."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await begin_tenure(pool)
                nursery.cancel_scope.cancel()
            call = call_of(b'x', idempotency_key=uuid7(trio.current_time()))
            ending = await pool.forward(call, PLACEMENT, ListSink())
            assert isinstance(ending, Ok)

        trio.run(case, clock=virtual_clock)


class TestCaller:
    def test_that_leaves_within_its_body(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """An action whose body broke off ends, and its repeat is unknown."""

        async def case() -> None:
            pool = pool_of(ScriptedUpstream())
            async with trio.open_nursery() as nursery:
                await nursery.start(pool.run)
                await begin_tenure(pool)
                key = uuid7(trio.current_time())
                call = call_of(
                    b'half',
                    BodyError('left'),
                    body_length=9,
                    idempotency_key=key,
                )
                ending = await pool.forward(call, PLACEMENT, ListSink())
                nursery.cancel_scope.cancel()
            assert isinstance(ending, Err)
            assert ending.err_value.outcome is Outcome.UNKNOWN

        trio.run(case, clock=virtual_clock)
