"""Tests of grants held by dispatchers for servers that do not check them."""

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.model import Key, ProfileName, Rank, ServerId, ShardNumber
from carobwalk.profiles import Profile
from standins.fake_fleet import SERVICE, FakeFleet
from standins.fake_fleet_shape import FleetShape
from standins.fake_process import FakeProcess

TIME_LIMIT_SECONDS = 3
SHARDS = 4
PROFILE = Profile(
    name=ProfileName('unchecked'),
    checks_grants=False,
    time_limits=dict.fromkeys(Rank, TIME_LIMIT_SECONDS),
)
SHAPE = FleetShape(shards_per_server=1, profile=PROFILE)
KEY = Key('case-1')


def delegated_owners(fleet: FakeFleet, shard: int) -> set[str]:
    """Return the servers for which some dispatcher holds a live grant."""
    return {
        name
        for name in fleet.servers
        for process in fleet.processes.values()
        if process.role._delegated_grants.owns(
            ServerId(name),
            (SERVICE, ShardNumber(shard)),
        )
    }


def find_sender(fleet: FakeFleet) -> tuple[FakeProcess, str] | None:
    """Return the dispatcher that may send for the key and its server."""
    for process in fleet.processes.values():
        located = process.role.placements.locate(SERVICE, KEY)
        if process.name in fleet.network.down or not isinstance(located, Ok):
            continue
        placement = located.ok_value
        dispatcher = fleet.processes[placement.dispatcher.name]
        server = ServerId(placement.server.name)
        lease = dispatcher.role.leases.authorise(server, SERVICE, KEY)
        if lease.is_ok() and dispatcher.name not in fleet.network.down:
            return dispatcher, server
    return None


async def check_single_owner(fleet: FakeFleet, seconds: float) -> None:
    """Check for some seconds that no shard is granted for two servers."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for shard in range(SHARDS):
            assert len(delegated_owners(fleet, shard)) <= 1
        await trio.sleep(0.01)


class TestDelegatedGrants:
    def test_dispatcher_lost(self, virtual_clock: MockClock) -> None:
        """After a dispatcher failed, no key is sent while requests may run."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = FakeFleet(nursery, SHAPE)
                fleet.start()
                await fleet.wait_until(
                    lambda: find_sender(fleet) is not None, 10
                )
                await check_single_owner(fleet, 3)
                found = find_sender(fleet)
                assert found is not None
                found[0].crash()
                lost_at = trio.current_time()
                await fleet.wait_until(
                    lambda: find_sender(fleet) not in {None, found},
                    10,
                )
                assert trio.current_time() - lost_at >= TIME_LIMIT_SECONDS
                await check_single_owner(fleet, 2)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)

    def test_sends_need_grant(self, virtual_clock: MockClock) -> None:
        """A dispatcher that receives no pushes is not authorised to send."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = FakeFleet(nursery, SHAPE)
                fleet.start()
                await fleet.wait_until(
                    lambda: find_sender(fleet) is not None, 10
                )
                found = find_sender(fleet)
                assert found is not None
                dispatcher, server = found
                for name in fleet.processes:
                    fleet.network.cuts.add((name, dispatcher.name))
                await trio.sleep(1)
                lease = dispatcher.role.leases.authorise(
                    ServerId(server),
                    SERVICE,
                    KEY,
                )
                assert lease.is_err()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)
