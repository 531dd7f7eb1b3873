"""Tests of actions whose keys were made by a clock that runs ahead."""

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.dispatch import DispatchPool
from carobwalk.model import FailureKind, Outcome
from tests.dispatch.fakes import (
    ListSink,
    ScriptedUpstream,
    call_of,
    endpoint_of,
    placement_of,
    pool_of,
    told,
    uuid7,
)

_PLACEMENT = placement_of(endpoint_of('server-1'))
_LONG_SECONDS = 1000


async def _send(pool: DispatchPool, key: str) -> object:
    call = call_of(b'claim', idempotency_key=key)
    return await pool.forward(call, _PLACEMENT, ListSink())


class TestCallerClockAhead:
    def test_repeat_after_a_loss(self, virtual_clock: MockClock) -> None:
        """A key from the future never runs at two dispatchers.

        The first dispatcher has held its lease for long. It is lost after
        the action, and the repeat arrives once its successor's clock has
        passed the time inside the key.
        """

        async def case() -> None:
            upstream = ScriptedUpstream()
            first = pool_of(upstream)
            await _send(first, uuid7(0))
            await trio.sleep(_LONG_SECONDS)
            key = uuid7(trio.current_time() + 10)
            await _send(first, key)
            await trio.sleep(5)
            second = pool_of(upstream)
            await _send(second, uuid7(0))
            await trio.sleep(10)
            await _send(second, key)
            assert len(upstream.runs) <= 1

        trio.run(case, clock=virtual_clock)

    def test_far_ahead(self, virtual_clock: MockClock) -> None:
        """A key from far ahead is refused as not run."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await _send(pool, uuid7(0))
            await trio.sleep(_LONG_SECONDS)
            refused = await _send(pool, uuid7(trio.current_time() + 10))
            assert told(refused) == (FailureKind.BAD_REQUEST, Outcome.NOT_RUN)
            assert not upstream.runs

        trio.run(case, clock=virtual_clock)

    def test_little_ahead(self, virtual_clock: MockClock) -> None:
        """A key from a little ahead runs once its time has come."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await _send(pool, uuid7(0))
            await trio.sleep(_LONG_SECONDS)
            made_at = trio.current_time() + 0.5
            assert isinstance(await _send(pool, uuid7(made_at)), Ok)
            assert trio.current_time() >= made_at
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)
