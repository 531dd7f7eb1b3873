"""Exclusive ownership across failures of the owners."""

import trio

from carobwalk.keyspace import KeyTimes
from tests.keyspace.simulated_fleet import SimulatedFleet

_TIMES = KeyTimes()
# Time to plan a move, to write it and to send the grant.
_MOVE_SECONDS = 0.5


class TestOwnerLost:
    def test_not_listening(self, run_scenario) -> None:
        """Keys of a server that refuses connections move when its hold is over.

        Not before: a full server refuses connections and holds its keys.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.book.holders_by_id[owner].refuses_connections = True
            least = _TIMES.hold - _TIMES.renewal
            await trio.sleep(least)
            assert fleet.book.owner(0) is None
            await trio.sleep(_TIMES.longest_usual_hold + _MOVE_SECONDS - least)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_unresponsive(self, run_scenario) -> None:
        """Keys of an unresponsive server move after its last grant expired."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.book.holders_by_id[owner].is_unresponsive = True
            await trio.sleep(6)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_restarted(self, run_scenario) -> None:
        """Keys of a server that restarted under its id get an owner again."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.add_server(int(owner[1:]), born=2)
            await trio.sleep(1)
            assert fleet.book.owner(0) is not None

        run_scenario(scenario)

    def test_late_grants(self, run_scenario) -> None:
        """A renewal that is applied late does not create a second owner."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.book.holders_by_id[owner].apply_delay = 2.0
            await trio.sleep(0.8)
            fleet.leave(int(owner[1:]))
            await trio.sleep(8)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_refused_releases(self, run_scenario) -> None:
        """Refused releases are retried slowly until the grant expires."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.book.holders_by_id[owner].refuses_releases = True
            fleet.leave(int(owner[1:]))
            await trio.sleep(5)
            assert fleet.book.owner(0) not in {None, owner}
            ranges = 4
            assert fleet.book.releases <= 5 * ranges

        run_scenario(scenario)

    def test_release_during_renewals(self, run_scenario) -> None:
        """An unanswered release waits only for the grants of its own range.

        Guards against a wait that never ends: renewals of the server's other
        grants used to extend it.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            for holder in fleet.book.holders_by_id.values():
                holder.stalls_releases = True
            fleet.add_server(9)
            await trio.sleep(6)
            granted = router.log.named('KeysGranted')
            assert 's9' in {event.server for event in granted}

        run_scenario(scenario)
