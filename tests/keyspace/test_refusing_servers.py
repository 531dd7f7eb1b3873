"""Owners that refuse connections, and what proves the end of their process."""

import trio

from carobwalk.keyspace import KeyTimes
from carobwalk.model import ServerId
from standins.platform import KeyHolder
from tests.keyspace.simulated_fleet import SimulatedFleet, make_server

_TIMES = KeyTimes()
# Time to plan a move, to write it and to send the grant.
_MOVE_SECONDS = 0.5
_LONGEST_HOLD_SECONDS = _TIMES.inherited


def _owner_of_first_key(fleet: SimulatedFleet) -> tuple[ServerId, KeyHolder]:
    owner = fleet.book.owner(0)
    assert owner is not None
    return owner, fleet.book.holders_by_id[owner]


class TestFullServer:
    # Guards against two owners: a slow server that accepted no more connections
    # was taken to have ended, and its keys were granted to others at once.
    def test_lives_on(self, run_scenario) -> None:
        """A server that resets new connections keeps its keys for its hold."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner, holder = _owner_of_first_key(fleet)
            holder.resets_connections = True
            await trio.sleep(_TIMES.longest_usual_hold + _MOVE_SECONDS)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_resets_by_turns(self, run_scenario) -> None:
        """The same holds if it accepts connections again from time to time."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            for pause in (0.2, 0.5, 0.9, 1.4, 2.2, 3):
                _, holder = _owner_of_first_key(fleet)
                holder.resets_connections = True
                await trio.sleep(pause)
                holder.resets_connections = False
                await trio.sleep(0.3)

        run_scenario(scenario)

    def test_renewed_in_between(self, run_scenario) -> None:
        """An owner that accepts a connection in time keeps its keys."""

        async def scenario(fleet: SimulatedFleet) -> None:
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            owner, holder = _owner_of_first_key(fleet)
            moves = len(router.log.named('KeysAssigned'))
            for _ in range(10):
                holder.resets_connections = True
                await trio.sleep(0.6)
                holder.resets_connections = False
                await trio.sleep(0.3)
            assert fleet.book.owner(0) == owner
            assert len(router.log.named('KeysAssigned')) == moves

        run_scenario(scenario)

    def test_long_grant(self, run_scenario) -> None:
        """Refusals don't shorten a grant sent while the lease is in doubt."""

        async def scenario(fleet: SimulatedFleet) -> None:
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            _, holder = _owner_of_first_key(fleet)
            router.link.is_cut = True
            await trio.sleep(1)
            holder.resets_connections = True
            router.link.is_cut = False
            await trio.sleep(_LONGEST_HOLD_SECONDS + _MOVE_SECONDS)
            assert None not in {fleet.book.owner(key) for key in (0, 65_535)}

        run_scenario(scenario)


class TestEndedServer:
    def test_keys_wait_for_hold(self, run_scenario) -> None:
        """Keys of a killed server are served again once its hold is over."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner, holder = _owner_of_first_key(fleet)
            holder.refuses_connections = True
            await trio.sleep(_TIMES.longest_usual_hold + _MOVE_SECONDS)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_reused_address(self, run_scenario) -> None:
        """Another server at its address proves the end: keys move at once."""

        async def scenario(fleet: SimulatedFleet) -> None:
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            owner, holder = _owner_of_first_key(fleet)
            router.link.is_cut = True
            await trio.sleep(1)
            holder.refuses_connections = True
            address = make_server(int(owner[1:])).address
            fleet.book.reach.reused_addresses.add(address)
            router.link.is_cut = False
            await trio.sleep(1.6)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)
