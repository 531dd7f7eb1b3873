"""Keys of evacuated data centres and of servers outside allowed regions."""

from collections import Counter
from dataclasses import replace
from types import MappingProxyType

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import (
    Evacuations,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.events import NullEventLog
from carobwalk.keyspace import (
    KeyLocations,
    KeyOwnerTable,
    KeyReader,
    ServerIncarnations,
)
from carobwalk.keyspace._evacuated_keys import EvacuatedKeysLog
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._move import MoveCause
from carobwalk.keyspace._planner import Planner, PlannerView
from carobwalk.model import DataCentreName, RegionName, TrioClock
from carobwalk.routing import ActiveRoutes, Destination
from tests.keyspace.simulated_fleet import (
    SAMPLE_KEYS,
    SERVICE,
    Router,
    SimulatedFleet,
    make_server,
)
from tests.keyspace.test_planner import Load, apply, divide
from tests.recording_log import RecordingLog
from tests.routing.test_routing import make_configuration, make_route

DC1 = DataCentreName('dc1')
DC2 = DataCentreName('dc2')
DC3 = DataCentreName('dc3')
R1 = RegionName('r1')
R2 = RegionName('r2')
REGIONS = MappingProxyType({DC1: R1, DC2: R1, DC3: R2})
DATA_CENTRES = (DC1, DC2, DC3)
# The moves of a quarter of the keys, with handover.
MOVE_SECONDS = 2.5


def _servers(count: int):
    """Return servers in turn of the three data centres."""
    return [
        replace(make_server(number), data_centre=DATA_CENTRES[number % 3])
        for number in range(count)
    ]


def _limit_regions(
    routes: ActiveRoutes, version: int, *limits: set[str] | None
) -> None:
    """Put a route to the service into force for each limit of regions."""
    configured = (
        make_route(
            f'/{number}/',
            destinations=(Destination(SERVICE),),
            allowed_regions=None if limit is None else frozenset(limit),
        )
        for number, limit in enumerate(limits)
    )
    routes.offer(make_configuration(*configured, version=version), version)


class TestMisplacedServers:
    """Decision which servers should own no keys."""

    def _misplaced(
        self,
        limits: tuple[set[str] | None, ...] = (None,),
        evacuated: tuple[DataCentreName, ...] = (),
        usable: tuple[int, ...] = (0, 1, 2),
    ) -> dict[str, MoveCause]:
        routes = ActiveRoutes(NullEventLog())
        _limit_regions(routes, 1, *limits)
        evacuations = Evacuations(TrioClock(), NullEventLog())
        servers = _servers(3)

        async def find() -> dict[str, MoveCause]:
            evacuations.replace(evacuated)
            misplaced = KeyLocations(evacuations, REGIONS, routes).misplaced(
                SERVICE,
                servers,
                [servers[number].incarnation for number in usable],
            )
            return {
                incarnation.server: cause
                for incarnation, cause in misplaced.items()
            }

        return trio.run(find)

    def test_no_limits(self) -> None:
        """Without limits no server is misplaced."""
        assert not self._misplaced()

    def test_limited_route(self) -> None:
        """One limited route among several binds the keys."""
        found = self._misplaced((None, {'r1'}))
        assert found == {'s2': MoveCause.OTHER_REGION}

    def test_common_regions(self) -> None:
        """Only the regions that every route allows remain."""
        found = self._misplaced(({'r1', 'r2'}, {'r2', 'r3'}))
        assert found == {
            's0': MoveCause.OTHER_REGION,
            's1': MoveCause.OTHER_REGION,
        }

    def test_no_server_inside(self) -> None:
        """If no server is in the regions, keys stay where they are."""
        assert not self._misplaced(({'r3'},))
        assert not self._misplaced(({'r1'}, {'r2'}))
        assert not self._misplaced(({'r1'},), usable=(2,))

    def test_evacuation(self) -> None:
        """Servers of an evacuated data centre are misplaced."""
        assert self._misplaced(evacuated=(DC2,)) == {'s1': MoveCause.EVACUATION}

    def test_evacuated_region(self) -> None:
        """If all allowed servers are evacuated, the others own the keys."""
        found = self._misplaced(({'r1'},), evacuated=(DC1, DC2))
        assert found == {
            's0': MoveCause.EVACUATION,
            's1': MoveCause.EVACUATION,
        }


@pytest.mark.parametrize('rate', [0, 300])
def test_spread_over_others(rate: int) -> None:
    """Keys of an evacuated data centre go to many servers, evenly.

    Guards against a planner that gives them all to the server that is least
    utilised at first, also while the load of keys is not known yet.
    """
    incarnations = [server.incarnation for server in _servers(30)]
    load = Load(7)
    if rate:
        load.run(1.5, rate, range(0, 65_536, 512), 0.4)
    key_map = divide(incarnations)
    misplaced = dict.fromkeys(incarnations[::3], MoveCause.EVACUATION)
    usable = [known for known in incarnations if known not in misplaced]
    view = PlannerView(
        key_map=key_map,
        usable=dict.fromkeys(usable, 50.0),
        movable=frozenset(usable),
        leaving=frozenset(),
        load=load.counted,
        may_balance=False,
        misplaced=misplaced,
    )
    moves = Planner(view).plan()
    assert {move.cause for move in moves} == {MoveCause.EVACUATION}
    moved = Counter(move.owner for move in moves)
    assert len(moved) == len(usable)
    after = apply(key_map, moves)
    assert not misplaced.keys() & {key_range.owner for key_range in after}
    capacities = dict.fromkeys(usable, 50.0)
    if rate:
        mean = rate / 50 / len(usable)
        assert load.max_utilisation(after, capacities) < 1.5 * mean


def _place(fleet: SimulatedFleet) -> None:
    """Distribute the servers of a fleet over three data centres."""
    fleet.regions_by_data_centre.update(REGIONS)
    for number, server_id in enumerate(fleet.book.holders_by_id):
        server = fleet.registry.get(server_id)
        data_centre = DATA_CENTRES[number % 3]
        fleet.registry.put(replace(server, data_centre=data_centre), 2)


def _data_centres(fleet: SimulatedFleet) -> set[DataCentreName]:
    """Return the data centres of the owners of all sample keys."""
    owners = {fleet.book.owner(key) for key in SAMPLE_KEYS}
    assert None not in owners
    return {fleet.registry.get(owner).data_centre for owner in owners}


def _holders(fleet: SimulatedFleet, data_centre: DataCentreName) -> set[str]:
    """Return the servers of a data centre that hold any key."""
    return {
        server
        for server, holder in fleet.book.holders_by_id.items()
        if holder.held and fleet.registry.get(server).data_centre == data_centre
    }


def _first(fleet: SimulatedFleet) -> DataCentreName:
    """Return the data centre of the owner of key 0."""
    return fleet.registry.get(fleet.book.owner(0)).data_centre


def _counts(router: Router) -> list[int]:
    """Return the numbers of evacuated keys that a process logged."""
    return [event.keys for event in router.log.named('KeysInEvacuation')]


class TestEvacuatedFleet:
    def test_keys_move(self, run_scenario) -> None:
        """All keys are handed over before requests for them end."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            evacuated = _first(fleet)
            fleet.registry.evacuate(evacuated)
            await trio.sleep(MOVE_SECONDS)
            assert evacuated not in _data_centres(fleet)
            assert not _holders(fleet, evacuated)
            assigned = router.log.named('KeysAssigned')
            assert 'evacuation' in {event.cause for event in assigned}
            # How many keys are left is logged down to the last.
            counts = _counts(router)
            assert counts[0] > 0
            assert counts[-1] == 0

        run_scenario(scenario, 9)

    def test_coordinator_takeover(self, run_scenario) -> None:
        """The next coordinator completes an evacuation.

        Guards against keys that stay because only the process that learned of
        the evacuation first moves them.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.add_router('b')
            await trio.sleep(0.5)
            evacuated = _first(fleet)
            fleet.registry.evacuate(evacuated)
            await trio.sleep(0.11)
            fleet.kill(fleet.coordinator())
            await trio.sleep(20)
            assert evacuated not in _data_centres(fleet)
            assert not _holders(fleet, evacuated)

        run_scenario(scenario, 9)

    def test_restart(self, run_scenario) -> None:
        """A process that starts during an evacuation assigns no keys there."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            fleet.registry.evacuate(DC1)
            fleet.add_router('a')
            await fleet.wait_until_owned()
            await trio.sleep(MOVE_SECONDS)
            assert not _holders(fleet, DC1)

        run_scenario(scenario, 9)

    def test_store_unavailable(self, run_scenario) -> None:
        """Keys keep their owners in an outage, and move when it is over."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            fleet.add_router('a')
            await fleet.wait_until_owned()
            evacuated = _first(fleet)
            fleet.store.is_down = True
            fleet.registry.evacuate(evacuated)
            for _ in range(60):
                await trio.sleep(0.1)
                assert evacuated in _data_centres(fleet)
            fleet.store.is_down = False
            await trio.sleep(20)
            assert evacuated not in _data_centres(fleet)

        run_scenario(scenario, 9)

    def test_withdrawn(self, run_scenario) -> None:
        """The servers are given keys again when an evacuation ends."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.registry.evacuate(DC1)
            await trio.sleep(MOVE_SECONDS)
            assert not _holders(fleet, DC1)
            fleet.registry.end_evacuation(DC1)
            await trio.sleep(MOVE_SECONDS)
            assert len(_holders(fleet, DC1)) == 3

        run_scenario(scenario, 9)

    def test_withdrawn_during_moves(self, run_scenario) -> None:
        """An evacuation that ends amid its moves leaves every key owned."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.registry.evacuate(_first(fleet))
            await trio.sleep(0.15)
            fleet.registry.end_evacuation(_first_evacuated(fleet))
            await trio.sleep(MOVE_SECONDS)
            assert _data_centres(fleet)

        run_scenario(scenario, 9)

    def test_all_evacuated(self, run_scenario) -> None:
        """Without another server, the owners keep their keys."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            owners = [fleet.book.owner(key) for key in SAMPLE_KEYS]
            for data_centre in DATA_CENTRES:
                fleet.registry.evacuate(data_centre)
            await trio.sleep(MOVE_SECONDS)
            assert [fleet.book.owner(key) for key in SAMPLE_KEYS] == owners
            assert sum(_counts(router)[:3]) == 65_536

        run_scenario(scenario, 9)


def _first_evacuated(fleet: SimulatedFleet) -> DataCentreName:
    """Return the data centre that is evacuated by the first process's view."""
    view = fleet.routers[0].registry
    return next(iter(view.directory.evacuations.data_centres))


def _owned_by(owners: tuple[ServerIncarnation, ...]) -> KeyMap:
    """Return a map of the first keys, one for each owner."""
    return KeyMap(
        KeyRange(first=key, last=key, owner=owner)
        for key, owner in enumerate(owners)
    )


class TestEvacuatedKeysLog:
    def test_last_key(self, virtual_clock: MockClock) -> None:
        """The number is logged once a second, but 0 at once.

        Guards against an operator who waits for keys that have moved.
        """

        async def body() -> list[int]:
            log = RecordingLog()
            directory = ServerDirectory(TrioClock(), NullEventLog())
            servers = _servers(2)
            for server in servers:
                directory.put(server, 1)
            directory.evacuations.begin(DC1)
            incarnations = ServerIncarnations(directory)
            incarnations.refresh()
            keys_log = EvacuatedKeysLog(
                SERVICE,
                directory.evacuations,
                incarnations,
                TrioClock(),
                log,
            )
            first, second = (server.incarnation for server in servers)
            for owners in ((first, first), (first, second), (second, second)):
                keys_log.record(_owned_by(owners))
                await trio.sleep(0.1)
            return [event.keys for event in log.named('KeysInEvacuation')]

        assert trio.run(body, clock=virtual_clock) == [2, 0]


class TestWaitingRequests:
    def test_withdrawn(self, virtual_clock: MockClock) -> None:
        """The end of an evacuation wakes requests that wait for an owner."""

        async def body() -> None:
            directory = ServerDirectory(TrioClock(), NullEventLog())
            directory.evacuations.begin(DC1)
            owners = KeyOwnerTable(KeyReader(NullEventLog()), directory)
            with trio.fail_after(1):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(owners.wait_for_change, SERVICE)
                    await trio.sleep(0.1)
                    directory.evacuations.end(DC1)

        trio.run(body, clock=virtual_clock)


class TestAllowedRegions:
    def test_limit_added(self, run_scenario) -> None:
        """Keys move when a route to their service becomes limited."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            assert _holders(fleet, DC3)
            _limit_regions(fleet.routes, 1, None, {'r1'})
            await trio.sleep(MOVE_SECONDS)
            assert not _holders(fleet, DC3)
            assigned = router.log.named('KeysAssigned')
            assert 'other-region' in {event.cause for event in assigned}
            _limit_regions(fleet.routes, 2, None)
            await trio.sleep(MOVE_SECONDS)
            assert _holders(fleet, DC3)

        run_scenario(scenario, 9)

    def test_allowed_servers_lost(self, run_scenario) -> None:
        """Keys go outside only while no server inside is usable."""

        async def scenario(fleet: SimulatedFleet) -> None:
            _place(fleet)
            _limit_regions(fleet.routes, 1, {'r2'})
            fleet.add_router('a')
            await fleet.wait_until_owned()
            assert _data_centres(fleet) == {DC3}
            fleet.registry.evacuate(DC3)
            await trio.sleep(MOVE_SECONDS)
            assert _data_centres(fleet) <= {DC1, DC2}
            fleet.registry.end_evacuation(DC3)
            await trio.sleep(MOVE_SECONDS)
            assert _data_centres(fleet) == {DC3}

        run_scenario(scenario, 9)
