"""Tests of the grants that the stand-in servers apply late or twice."""

import json
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from standins.platform import SLOW_CLOCK_RATE, KeyedBackend

KEY = 5


def _order(fence: int, hold: float = 0) -> bytes:
    return json.dumps(
        {'from': 0, 'to': 9, 'fence': fence, 'hold_s': hold}
    ).encode()


def _run_scenario(scenario) -> None:
    async def body() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(KeyedBackend('s1'), nursery)
            nursery.cancel_scope.cancel()

    trio.run(body, clock=MockClock(autojump_threshold=0))


class TestKeyedBackend:
    @pytest.mark.parametrize('field', ['apply_delay', 'repeat_delay'])
    def test_late_grant_counts_from_its_arrival(self, field: str) -> None:
        """A grant that is applied late, also after a release, ends in time."""

        async def scenario(server: KeyedBackend, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            setattr(server.holder, field, 4)
            nursery.start_soon(server._grant, _order(1, hold=9.8))
            await trio.sleep(2)
            await server._release(_order(1))
            assert not server.holder.holds(KEY, trio.current_time())
            await trio.sleep(3)
            end = began + 9.8 / SLOW_CLOCK_RATE
            assert server.holder.holds(KEY, end - 0.01)
            assert not server.holder.holds(KEY, end + 0.01)

        _run_scenario(scenario)

    def test_release_is_answered_late(self) -> None:
        """Keys are given up at once although the answer is delayed."""

        async def scenario(server: KeyedBackend, nursery: trio.Nursery) -> None:
            await server._grant(_order(1, hold=9))
            server.holder.release_delay = 2
            began = trio.current_time()
            nursery.start_soon(partial(server._release, _order(1)))
            await trio.sleep(0.1)
            assert not server.holder.holds(KEY, trio.current_time())
            await server._release(_order(1))
            assert trio.current_time() - began >= 2

        _run_scenario(scenario)
