"""Election in a fleet of slow hosts with a few much faster ones."""

import pytest
import trio
from trio.testing import MockClock

from tests.keyspace.simulated_fleet import SimulatedFleet

SLOW = 0.43
FAST = 2.15


class TestUnequalHosts:
    @pytest.mark.parametrize('attempt', range(10))
    def test_fast_host_coordinates(
        self,
        virtual_clock: MockClock,
        attempt: int,
    ) -> None:
        """A fast host is elected, since the coordinator sends all grants."""

        async def body() -> None:
            fleet = SimulatedFleet(3)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                for number in range(8):
                    fleet.add_router(f'slow-{number}', speed=SLOW)
                fast = [
                    fleet.add_router(f'fast-{number}', speed=FAST)
                    for number in range(2)
                ]
                await fleet.wait_until_owned()
                first = fleet.coordinator()
                assert first in fast
                fleet.kill(first)
                fleet.routers.remove(first)
                await trio.sleep(3)
                await fleet.wait_until_owned()
                assert fleet.coordinator() in fast
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

    def test_slow_hosts_coordinate_alone(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Without a fast host a slow one is elected."""

        async def body() -> None:
            fleet = SimulatedFleet(3)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                fleet.add_router('slow', speed=SLOW)
                await fleet.wait_until_owned()
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)
