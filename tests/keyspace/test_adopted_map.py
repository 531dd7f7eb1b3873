"""A first key map that an earlier coordinator wrote late."""

import trio
from trio.testing import MockClock

from carobwalk.keyspace._codec import claimant_of, map_name
from carobwalk.model import ServerId
from standins.platform import MemoryOrderChannel
from tests.keyspace.simulated_fleet import SERVICE, Router, SimulatedFleet

_POLL_SECONDS = 0.01
# Later than the read of the next coordinator, before its first plan.
_LATE_SECONDS = 1.4


def _writer_of_map(fleet: SimulatedFleet) -> str | None:
    record = fleet.store.records.get(map_name(SERVICE))
    claimant = claimant_of(record.content) if record else None
    return claimant.coordinator.name if claimant else None


async def _take_over_late_map(fleet: SimulatedFleet) -> Router:
    """Let a second coordinator start from the late first map of another."""
    first = fleet.add_router('a')
    with trio.fail_after(3):
        while not first.is_coordinating:
            await trio.sleep(_POLL_SECONDS)
    # The first map is written 0.8 s later; the lease lapses meanwhile.
    await trio.sleep(0.3)
    first.link.write_delay = _LATE_SECONDS
    second = fleet.add_router('b')
    with trio.fail_after(5):
        while not second.is_coordinating:
            await trio.sleep(_POLL_SECONDS)
    assert _writer_of_map(fleet) is None
    with trio.fail_after(5):
        while fleet.book.owner(0) is None:
            await trio.sleep(_POLL_SECONDS)
    return second


class TestLateFirstMap:
    # Guards against two owners: the next coordinator asked the process that is
    # named in the record, which had sent none of the grants in force.
    def test_names_the_coordinator_in_force(
        self, virtual_clock: MockClock
    ) -> None:
        """A coordinator grants by no record that names another one."""

        async def body() -> None:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                await _take_over_late_map(fleet)
                assert _writer_of_map(fleet) == 'b'
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

    def test_third_coordinator(self, virtual_clock: MockClock) -> None:
        """A third coordinator waits for the grants of the second one."""

        async def body() -> MemoryOrderChannel:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                second = await _take_over_late_map(fleet)
                second.link.is_cut = True
                fleet.routers[0].link.write_delay = None
                fleet.add_router('c')
                await trio.sleep(1.3)
                owner = fleet.book.owner(0)
                assert owner is not None
                faults = fleet.book.faults_by_id[ServerId(owner)]
                faults.opens_no_connections = True
                await trio.sleep(8)
                nursery.cancel_scope.cancel()
            return fleet.book

        assert trio.run(body, clock=virtual_clock).violations == []
