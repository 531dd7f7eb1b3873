"""Refused orders of an earlier term of the same process."""

import trio
from trio.testing import MockClock

from standins.platform import MemoryOrderChannel
from tests.keyspace.simulated_fleet import Router, SimulatedFleet

_POLL_SECONDS = 0.01
_REFUSAL_SECONDS = 0.6


async def _wait_for_role(router: Router) -> None:
    with trio.fail_after(8):
        while not router.is_coordinating:
            await trio.sleep(_POLL_SECONDS)


class TestEarlierTerm:
    # Guards against two owners: a server that had restarted and been granted
    # keys by another coordinator was taken to have ended.
    def test_granted_since(self, virtual_clock: MockClock) -> None:
        """Refusals prove nothing in a later term of the same process.

        Meanwhile another coordinator, which did not know of the restart, may
        have sent grants that the new process accepted.
        """

        async def body() -> MemoryOrderChannel:
            fleet = SimulatedFleet(4)
            fleet.book.reach.checks_incarnation = False
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                first = fleet.add_router('a')
                await fleet.wait_until_owned()
                await trio.sleep(1)
                server = fleet.book.owner(0)
                assert server is not None
                number = int(server[1:])
                # The store turns the coordinator away as the server ends.
                first.link.is_cut = True
                fleet.book.holders_by_id[server].refuses_connections = True
                await trio.sleep(_REFUSAL_SECONDS)
                fleet.start_server(number, born=2)
                second = fleet.add_router('b')
                await _wait_for_role(second)
                first.link.is_cut = False
                await trio.sleep(1)
                fleet.routers.remove(second)
                fleet.kill(second)
                await _wait_for_role(first)
                await trio.sleep(3)
                nursery.cancel_scope.cancel()
            return fleet.book

        assert trio.run(body, clock=virtual_clock).violations == []
