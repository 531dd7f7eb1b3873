"""Refused orders of an earlier term of the same process."""

import trio

from tests.keyspace.simulated_fleet import SimulatedFleet

_ROLE_LIMIT_SECONDS = 8
_REFUSAL_SECONDS = 0.6


class TestEarlierTerm:
    # Guards against two owners: a server that had restarted and been granted
    # keys by another coordinator was taken to have ended.
    def test_granted_since(self, run_scenario) -> None:
        """Refusals prove nothing in a later term of the same process.

        Meanwhile another coordinator, which did not know of the restart, may
        have sent grants that the new process accepted.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.book.reach.checks_incarnation = False
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
            await second.wait_for_role(_ROLE_LIMIT_SECONDS)
            first.link.is_cut = False
            await trio.sleep(1)
            fleet.routers.remove(second)
            fleet.kill(second)
            await first.wait_for_role(_ROLE_LIMIT_SECONDS)
            await trio.sleep(3)

        run_scenario(scenario)
