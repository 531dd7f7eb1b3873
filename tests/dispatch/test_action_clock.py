"""Tests of actions whose keys have timestamps in the future."""

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.dispatch import DispatchPool
from carobwalk.model import FailureKind, Outcome
from tests.dispatch.calls import call_of, uuid7
from tests.dispatch.pools import forward, kind_and_outcome, pool_of
from tests.dispatch.scripted_upstream import ScriptedUpstream

_LONG_SECONDS = 1000


async def _send(pool: DispatchPool, key: str) -> object:
    call = call_of(b'claim', idempotency_key=key)
    return await forward(pool, call)


class TestCallerClockAhead:
    def test_repeat_at_next_dispatcher(self, virtual_clock: MockClock) -> None:
        """An action with a key from the future never runs at two dispatchers.

        The first dispatcher, which has held its lease for long, is lost after
        the action. The repeat reaches its successor once the timestamp in the
        key has passed, so that the key looks newer than the new lease.
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

    def test_too_far_ahead(self, virtual_clock: MockClock) -> None:
        """A key too far in the future is refused as not run."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await _send(pool, uuid7(0))
            await trio.sleep(_LONG_SECONDS)
            refused = await _send(pool, uuid7(trio.current_time() + 10))
            assert kind_and_outcome(refused) == (
                FailureKind.BAD_REQUEST,
                Outcome.NOT_RUN,
            )
            assert not upstream.runs

        trio.run(case, clock=virtual_clock)

    def test_slightly_ahead(self, virtual_clock: MockClock) -> None:
        """A key slightly in the future runs once its timestamp is reached."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            await _send(pool, uuid7(0))
            await trio.sleep(_LONG_SECONDS)
            issued_at = trio.current_time() + 0.5
            assert isinstance(await _send(pool, uuid7(issued_at)), Ok)
            assert trio.current_time() >= issued_at
            assert len(upstream.runs) == 1

        trio.run(case, clock=virtual_clock)
