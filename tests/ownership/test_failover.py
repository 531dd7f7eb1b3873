"""Tests of failover, planned shutdown and restart."""

from collections.abc import Awaitable, Callable
from types import MappingProxyType

import pytest
import trio
from trio.testing import MockClock

from carobwalk.model import Key
from carobwalk.ownership import GrantTable
from standins.fake_fleet import SERVICE, FakeFleet
from standins.fake_fleet_shape import FleetShape
from standins.fake_meter import ServiceMeter
from standins.memory_store import StoreFaults
from tests.ownership.chaos import start_server, stop_server
from tests.ownership.shard_scenario import GROUP, ShardScenario

Action = Callable[[FakeFleet], Awaitable[None]]

RECOVERY_SECONDS = 1
HANDOVER_SECONDS = 0.1
PROCESS_HANDOVER_SECONDS = 0.2
SHAPE = FleetShape(shards_per_server=2)
STORES = MappingProxyType(
    {
        'up': StoreFaults(delay=0.005),
        'down': StoreFaults(down=True),
        'slow': StoreFaults(delay=0.5),
    }
)


def run_on_fleet(
    clock: MockClock, action: Action, shape: FleetShape = SHAPE
) -> None:
    """Run an action on a fleet in which every shard has an owner."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = FakeFleet(nursery, shape)
            fleet.start()
            await fleet.wait_until_served()
            await trio.sleep(2)
            await action(fleet)
            assert fleet.record.violations == []
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


class TestLoss:
    @pytest.mark.parametrize('store', STORES)
    @pytest.mark.parametrize('kind', ['crash', 'freeze'])
    def test_owner(
        self,
        virtual_clock: MockClock,
        store: str,
        kind: str,
    ) -> None:
        """The keys of a failed owner are served again within a second."""

        async def lose(fleet: FakeFleet) -> None:
            fleet.inject(STORES[store])
            await trio.sleep(1)
            owner = ShardScenario(fleet).owner
            if kind == 'crash':
                stop_server(fleet, owner)
            else:
                fleet.network.freeze(owner)
            assert 0 < await ServiceMeter(fleet).measure(3) <= RECOVERY_SECONDS

        run_on_fleet(virtual_clock, lose)

    @pytest.mark.parametrize('store', ['up', 'slow'])
    def test_coordinator(self, virtual_clock: MockClock, store: str) -> None:
        """A failed coordinator and dispatcher is replaced within a second."""

        async def lose(fleet: FakeFleet) -> None:
            fleet.inject(STORES[store])
            ShardScenario(fleet).coordinator.crash()
            assert await ServiceMeter(fleet).measure(4) <= RECOVERY_SECONDS

        run_on_fleet(virtual_clock, lose)

    def test_owner_with_store(self, virtual_clock: MockClock) -> None:
        """An owner lost with the store is replaced once the store is back.

        Until then the epoch cannot be verified, and the owner never agreed to
        autonomy.
        """

        async def lose(fleet: FakeFleet) -> None:
            fleet.inject(STORES['down'])
            stop_server(fleet, ShardScenario(fleet).owner)
            await trio.sleep(3)
            fleet.inject(STORES['up'])
            await fleet.wait_until_served(RECOVERY_SECONDS)

        run_on_fleet(virtual_clock, lose)

    def test_two_groups(self, virtual_clock: MockClock) -> None:
        """Keys recover when an owner and another group's coordinator fail."""

        async def lose(fleet: FakeFleet) -> None:
            stop_server(fleet, ShardScenario(fleet).owner)
            other = fleet.coordinator_of('north/dc2')
            assert other is not None
            other.crash()
            assert await ServiceMeter(fleet).measure(4) <= RECOVERY_SECONDS

        run_on_fleet(virtual_clock, lose)

    def test_data_centre(self, virtual_clock: MockClock) -> None:
        """After the loss of a data centre all keys recover within a second."""

        async def lose(fleet: FakeFleet) -> None:
            for name in tuple(fleet.servers):
                if name.startswith('dc2'):
                    stop_server(fleet, name)
            for process in fleet.processes.values():
                if process.name.startswith('dc2'):
                    process.crash()
            assert await ServiceMeter(fleet).measure(4) <= RECOVERY_SECONDS

        run_on_fleet(virtual_clock, lose)

    def test_isolated_coordinator(self, virtual_clock: MockClock) -> None:
        """A process partitioned from all others deposes no coordinator."""

        async def lose(fleet: FakeFleet) -> None:
            scenario = ShardScenario(fleet)
            other = fleet.coordinator_of('north/dc2')
            scenario.isolate()
            await trio.sleep(2)
            assert fleet.coordinator_of('north/dc2') is other

        run_on_fleet(virtual_clock, lose)

    def test_second_owner(self, virtual_clock: MockClock) -> None:
        """A new successor is recorded in time for the loss of its owner."""

        async def lose(fleet: FakeFleet) -> None:
            stop_server(fleet, ShardScenario(fleet).owner)
            await trio.sleep(2)
            stop_server(fleet, ShardScenario(fleet).owner)
            assert await ServiceMeter(fleet).measure(3) <= RECOVERY_SECONDS

        run_on_fleet(virtual_clock, lose)

    def test_store_recovery(self, virtual_clock: MockClock) -> None:
        """A failover during an outage of the store is recorded afterwards."""

        async def lose(fleet: FakeFleet) -> None:
            scenario = ShardScenario(fleet)
            fleet.inject(STORES['down'])
            await trio.sleep(1)
            stop_server(fleet, scenario.owner)
            await trio.sleep(2)
            fleet.inject(STORES['up'])
            await trio.sleep(1)
            record = scenario.shard.record
            assert record is not None
            assert record.successor is not None
            named = {record.owner.server, record.successor.server}
            assert scenario.owner not in named
            assert record.owner == scenario.shard.owner

        run_on_fleet(virtual_clock, lose)


class TestLeave:
    def test_server(self, virtual_clock: MockClock) -> None:
        """A leaving server hands its shards over within 0.1 s."""

        async def leave(fleet: FakeFleet) -> None:
            owner = ShardScenario(fleet).owner
            fleet.servers[owner].table.leaving = True
            gap = await ServiceMeter(fleet).measure(1)
            assert gap <= HANDOVER_SECONDS
            assert owner not in fleet.owners().values()

        run_on_fleet(virtual_clock, leave)

    def test_listed_as_leaving(self, virtual_clock: MockClock) -> None:
        """A server that the host list marks as leaving loses its shards."""

        async def leave(fleet: FakeFleet) -> None:
            owner = ShardScenario(fleet).owner
            fleet.host_list.mark_leaving(owner)
            await trio.sleep(3)
            assert owner not in fleet.owners().values()

        run_on_fleet(virtual_clock, leave)

    def test_in_flight(self, virtual_clock: MockClock) -> None:
        """A shard moves only after its last request in flight has ended."""

        async def leave(fleet: FakeFleet) -> None:
            scenario = ShardScenario(fleet)
            shard_id = scenario.shard.shard_id
            table: GrantTable = fleet.servers[scenario.owner].table
            table.begin(*shard_id)
            table.leaving = True
            await trio.sleep(3)
            assert fleet.owners()[shard_id] == scenario.owner
            table.finish(*shard_id)
            await trio.sleep(0.3)
            assert fleet.owners()[shard_id] != scenario.owner

        run_on_fleet(virtual_clock, leave)

    def test_process(self, virtual_clock: MockClock) -> None:
        """A leaving coordinator and dispatcher hands over within 0.2 s."""

        async def leave(fleet: FakeFleet) -> None:
            process = ShardScenario(fleet).coordinator
            meter = ServiceMeter(fleet)
            fleet.nursery.start_soon(meter.measure, 3)
            with trio.fail_after(3):
                await process.role.leave()
            snapshot = process.role.snapshot()
            assert snapshot.coordinating == ()
            assert snapshot.dispatching == ()
            process.crash()
            await trio.sleep(3)
            assert meter.longest() <= PROCESS_HANDOVER_SECONDS

        run_on_fleet(virtual_clock, leave)


class TestRestart:
    def test_all_processes(self, virtual_clock: MockClock) -> None:
        """Every shard keeps its owner across a restart of all processes."""

        async def restart(fleet: FakeFleet) -> None:
            before = fleet.owners()
            for process in fleet.processes.values():
                process.crash()
            await trio.sleep(5)
            assert not fleet.owners()
            for process in fleet.processes.values():
                process.restart()
            await fleet.wait_until_served(3)
            assert fleet.owners() == before

        run_on_fleet(virtual_clock, restart)

    def test_all_servers(self, virtual_clock: MockClock) -> None:
        """Every shard has an owner again after a restart of all servers."""

        async def restart(fleet: FakeFleet) -> None:
            for name in fleet.servers:
                stop_server(fleet, name)
                start_server(fleet, name)
            await fleet.wait_until_served(3)

        run_on_fleet(virtual_clock, restart)

    def test_process_without_store(self, virtual_clock: MockClock) -> None:
        """A process that starts during an outage of the store gets the map."""

        async def restart(fleet: FakeFleet) -> None:
            coordinators = {
                fleet.coordinator_of(group) for group in (GROUP, 'north/dc2')
            }
            process = next(
                process
                for process in fleet.processes.values()
                if process not in coordinators
            )
            process.crash()
            fleet.inject(STORES['down'])
            process.restart()
            await trio.sleep(1)
            located = process.role.placements.locate(SERVICE, Key('case-1'))
            assert located.is_ok()
            assert process.role.snapshot().coordinating == ()

        run_on_fleet(virtual_clock, restart)

    def test_rolling(self, virtual_clock: MockClock) -> None:
        """A rolling restart of the processes has no gap above 0.2 s."""

        async def restart(fleet: FakeFleet) -> None:
            meter = ServiceMeter(fleet)
            fleet.nursery.start_soon(meter.measure, 8)
            for process in tuple(fleet.processes.values()):
                await process.role.leave()
                process.crash()
                await trio.sleep(0.5)
                process.restart()
                await trio.sleep(1)
            assert meter.longest() <= PROCESS_HANDOVER_SECONDS

        run_on_fleet(virtual_clock, restart)
