"""Tests of ownership as a whole in a fake fleet."""

import trio
from trio.testing import MockClock

from carobwalk.model import Key
from standins.fake_fleet import SERVICE, FakeFleet
from standins.fake_fleet_shape import FleetShape

DC1 = 'north/dc1'
DC2 = 'north/dc2'
SHAPE = FleetShape(entries=2, servers=2)


class TestOwnershipRole:
    def test_cold_start(self, virtual_clock: MockClock) -> None:
        """After a cold start every entry finds an owner and may send to it."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = FakeFleet(nursery, SHAPE)
                fleet.start()
                await fleet.wait_until_served()
                await trio.sleep(1.5)
                for process in fleet.processes.values():
                    located = process.role.placements.locate(
                        SERVICE,
                        Key('case-1'),
                    )
                    placement = located.unwrap()
                    dispatcher = fleet.processes[placement.dispatcher.name]
                    lease = dispatcher.role.leases.authorise(
                        placement.server.name,
                        SERVICE,
                        Key('case-1'),
                    )
                    assert lease.unwrap() == placement.token
                assert fleet.record.violations == []
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)
