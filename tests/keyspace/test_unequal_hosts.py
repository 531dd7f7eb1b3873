"""Pattern: most hosts of a fleet are slow, a few are several times faster."""

import pytest
import trio
from trio.testing import MockClock

from tests.keyspace.scene import Scene

SLOW = 0.43
FAST = 2.15


class TestUnequalHosts:
    @pytest.mark.parametrize('attempt', range(10))
    def test_fast_host_coordinates(
        self,
        virtual_clock: MockClock,
        attempt: int,
    ) -> None:
        """Each grant and renewal of all keys is the coordinator's work."""

        async def body() -> None:
            scene = Scene(3)
            async with trio.open_nursery() as nursery:
                scene.start(nursery)
                for number in range(8):
                    scene.add_router(f'slow-{number}', speed=SLOW)
                fast = [
                    scene.add_router(f'fast-{number}', speed=FAST)
                    for number in range(2)
                ]
                await scene.settle()
                first = scene.coordinator()
                assert first in fast
                scene.kill(first)
                scene.routers.remove(first)
                await trio.sleep(3)
                await scene.settle()
                assert scene.coordinator() in fast
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

    def test_slow_hosts_coordinate_alone(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Without a fast host a slow one takes the role."""

        async def body() -> None:
            scene = Scene(3)
            async with trio.open_nursery() as nursery:
                scene.start(nursery)
                scene.add_router('slow', speed=SLOW)
                await scene.settle()
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)
