"""Allowed regions and evacuated data centres on the way of a request."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CallerRequest,
    CandidateServers,
    KeyedChooser,
    NoTarget,
    RegionRules,
    ServerCost,
    Target,
    UnkeyedChooser,
)
from carobwalk.model import DataCentreName, RegionName, ServerId
from carobwalk.routing import ActiveRoutes, Route
from standins.platform import Fault
from tests.gateway.harness import (
    LOCAL_DATA_CENTRE,
    REMOTE_DATA_CENTRE,
    GatewayHarness,
    SingleOwnerMap,
)
from tests.gateway.test_choosers import (
    LOCAL,
    LOCALITY,
    REMOTE,
    ChooserHarness,
    make_request,
)
from tests.keyspace.simulated_fleet import SERVICE
from tests.routing.test_routing import make_configuration, make_route

LOCAL_REGION = frozenset((RegionName('r1'),))
REMOTE_REGION = frozenset((RegionName('r2'),))
KEY = 7
# Until when owners in an evacuated data centre are sent requests.
KEYED_SECONDS = 3
# Longer than a request waits for an owner; the next try would be too late.
AT_ONCE_SECONDS = 0.01


def _limited(
    regions: frozenset[RegionName] | None, seconds: float = 1
) -> CallerRequest:
    """Return a request of a route with allowed regions."""
    request = make_request(seconds=seconds)
    route = replace(request.route, allowed_regions=regions)
    return replace(request, route=route)


class KeyedHarness(ChooserHarness):
    """Choosers with one local and one remote server, and the owner of keys."""

    def __init__(self, local_count: int = 1, remote_count: int = 1) -> None:
        super().__init__(local_count, remote_count)
        servers = self.directory.all_servers()
        self.local = servers[0]
        self.remote = servers[1]
        self.owners = SingleOwnerMap()
        self.owners.server = self.local
        self.keyed = KeyedChooser(self.owners, self.loads, self.candidates)

    def evacuate(self, data_centre: DataCentreName) -> None:
        """Begin an evacuation that is asked for now."""
        now = trio.current_time()
        self.directory.evacuations.begin(data_centre, now)

    def fill(self) -> None:
        """Use up the capacity of the local server."""
        load = self.loads.of_keyed(self.local)
        while load.has_capacity:
            load.start()


Scenario = Callable[[], Awaitable[None]]


@pytest.fixture
def run(virtual_clock: MockClock) -> Callable[[Scenario], None]:
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


async def _refused_at_once(
    choosing: Awaitable[Target | NoTarget],
) -> NoTarget:
    """Return a refusal that was given without a wait."""
    started_at = trio.current_time()
    chosen = await choosing
    assert isinstance(chosen, NoTarget)
    assert trio.current_time() - started_at < AT_ONCE_SECONDS
    assert chosen.retry_after > 0
    return chosen


class TestUnkeyed:
    """Requests that any server may run.

    Guards against a request that leaves its regions, or goes to an evacuated
    data centre, because the other servers are full or none is left.
    """

    def test_full_region(self, run) -> None:
        """A request is refused rather than sent to another region."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.fill()
            assert isinstance(
                await harness.choose(_limited(LOCAL_REGION)), NoTarget
            )
            chosen = await harness.choose(_limited(REMOTE_REGION))
            assert chosen.server == harness.remote

        run(scenario)

    def test_no_server_in_region(self, run) -> None:
        """Without a server in its regions a request is refused at once."""

        async def scenario() -> None:
            harness = ChooserHarness(2)
            refused = await _refused_at_once(
                harness.choose(_limited(REMOTE_REGION))
            )
            assert 'allowed regions' in refused.detail

        run(scenario)

    def test_unknown_region(self, run) -> None:
        """A data centre of unknown region is in no allowed region."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            server = harness.directory.all_servers()[0]
            unknown = replace(server, data_centre=DataCentreName('dc9'))
            harness.directory.put(unknown, 2)
            await _refused_at_once(harness.choose(_limited(LOCAL_REGION)))
            assert isinstance(await harness.choose(make_request()), Target)

        run(scenario)

    def test_evacuated(self, run) -> None:
        """An evacuated data centre gets nothing, even if the rest is full."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.fill()
            harness.evacuate(REMOTE)
            assert isinstance(await harness.choose(make_request()), NoTarget)
            harness.directory.evacuations.end(REMOTE)
            chosen = await harness.choose(make_request())
            assert chosen.server == harness.remote

        run(scenario)

    def test_all_evacuated(self, run) -> None:
        """A request is refused at once if all servers are evacuated."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.evacuate(LOCAL)
            harness.evacuate(REMOTE)
            refused = await _refused_at_once(harness.choose(make_request()))
            assert 'evacuated' in refused.detail

        run(scenario)

    def test_evacuated_during_wait(self, run) -> None:
        """A request that waits for capacity is not sent there afterwards."""

        async def scenario() -> None:
            harness = KeyedHarness(1, 1)
            harness.directory.remove(harness.remote.id, 'test')
            harness.fill()
            async with trio.open_nursery() as nursery:

                async def evacuate() -> None:
                    await trio.sleep(0.05)
                    harness.evacuate(LOCAL)
                    harness.loads.finish(harness.local)

                nursery.start_soon(evacuate)
                chosen = await harness.choose(make_request())
            assert isinstance(chosen, NoTarget)

        run(scenario)


class TestSharedQueue:
    """Requests to one service whose routes allow different regions."""

    def test_idle_region(self, run) -> None:
        """A request is sent to an idle region though others can't go there.

        Guards against requests that wait behind one that waits for a full
        region, while servers that only they may be sent to are idle.
        """

        async def scenario() -> None:
            harness = KeyedHarness()
            for server in (harness.local, harness.remote):
                load = harness.loads.of(server)
                while load.has_capacity:
                    harness.loads.start(server)
            async with trio.open_nursery() as nursery:
                for regions in (LOCAL_REGION, None):
                    nursery.start_soon(
                        harness.choose, _limited(regions, seconds=9)
                    )
                    await trio.sleep(0.01)
                harness.loads.finish(harness.remote)
                await trio.sleep(0.01)
                queue = harness.loads.queue_of(SERVICE)
                assert len(queue) == 1
                harness.loads.finish(harness.remote)
                with trio.fail_after(AT_ONCE_SECONDS):
                    chosen = await harness.choose(_limited(None, seconds=9))
                assert chosen == Target(harness.remote)
                nursery.cancel_scope.cancel()

        run(scenario)


class TestChangedConfiguration:
    """Requests that wait while the allowed regions of their route change."""

    def _chooser(
        self, harness: ChooserHarness, routes: ActiveRoutes
    ) -> UnkeyedChooser:
        rules = RegionRules(LOCALITY.regions_by_data_centre, routes)
        return UnkeyedChooser(
            CandidateServers(
                harness.directory, harness.loads.warmups.is_cold, rules
            ),
            harness.loads,
            ServerCost(harness.loads, LOCALITY),
        )

    def _routes(self, *versions: Route) -> ActiveRoutes:
        routes = ActiveRoutes(NullEventLog())
        for version, route in enumerate(versions, 1):
            routes.offer(make_configuration(route, version=version), version)
        return routes

    def test_limited_meanwhile(self, run) -> None:
        """A limit that comes into force binds a request that arrived before."""

        async def scenario() -> None:
            harness = ChooserHarness(2)
            before = make_route('/')
            after = replace(before, allowed_regions=REMOTE_REGION)
            chooser = self._chooser(harness, self._routes(before, after))
            request = replace(make_request(), route=before)
            chosen = await chooser.choose(SERVICE, request, frozenset())
            assert isinstance(chosen, NoTarget)

        run(scenario)

    def test_limit_lifted_meanwhile(self, run) -> None:
        """A limit stays in force for the requests that arrived under it."""

        async def scenario() -> None:
            harness = ChooserHarness(2)
            before = make_route('/', allowed_regions=REMOTE_REGION)
            after = replace(before, allowed_regions=None)
            chooser = self._chooser(harness, self._routes(before, after))
            request = replace(make_request(), route=before)
            chosen = await chooser.choose(SERVICE, request, frozenset())
            assert isinstance(chosen, NoTarget)

        run(scenario)


class TestKeyed:
    """Requests for keys whose owner is excluded by its location."""

    def test_owner_in_forbidden_region(self, run) -> None:
        """The request is refused at once and not sent to the owner."""

        async def scenario() -> None:
            harness = KeyedHarness()
            refused = await _refused_at_once(
                harness.keyed.choose(SERVICE, _limited(REMOTE_REGION), KEY)
            )
            assert 'owner of the key' in refused.detail
            assert harness.loads.of(harness.local).in_flight == 0
            harness.owners.server = harness.remote
            chosen = await harness.keyed.choose(
                SERVICE, _limited(REMOTE_REGION), KEY
            )
            assert chosen.server == harness.remote

        run(scenario)

    def test_key_moves_out_of_region(self, run) -> None:
        """A request that waits at an owner does not follow the key outside."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.fill()
            async with trio.open_nursery() as nursery:

                async def move() -> None:
                    await trio.sleep(0.05)
                    harness.owners.server = harness.remote
                    harness.loads.finish(harness.local)

                nursery.start_soon(move)
                chosen = await harness.keyed.choose(
                    SERVICE, _limited(LOCAL_REGION), KEY
                )
            assert isinstance(chosen, NoTarget)
            assert harness.loads.of(harness.remote).in_flight == 0

        run(scenario)

    def test_evacuated_owner(self, run) -> None:
        """An owner gets its requests for 3 s; later ones go to the next."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.evacuate(LOCAL)
            await trio.sleep(KEYED_SECONDS - 0.1)
            chosen = await harness.keyed.choose(SERVICE, make_request(), KEY)
            assert chosen.server == harness.local
            await trio.sleep(0.2)
            chosen = await harness.keyed.choose(SERVICE, make_request(), KEY)
            assert isinstance(chosen, NoTarget)
            async with trio.open_nursery() as nursery:

                async def move() -> None:
                    await trio.sleep(0.1)
                    harness.owners.server = harness.remote

                nursery.start_soon(move)
                chosen = await harness.keyed.choose(
                    SERVICE, make_request(), KEY
                )
            assert chosen.server == harness.remote

        run(scenario)

    def test_all_evacuated(self, run) -> None:
        """A request is refused at once if no server may own its key."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.evacuate(LOCAL)
            harness.evacuate(REMOTE)
            await trio.sleep(KEYED_SECONDS)
            refused = await _refused_at_once(
                harness.keyed.choose(SERVICE, make_request(), KEY)
            )
            assert 'evacuated' in refused.detail

        run(scenario)

    def test_withdrawn(self, run) -> None:
        """An owner that kept its keys gets requests again at once."""

        async def scenario() -> None:
            harness = KeyedHarness()
            harness.evacuate(LOCAL)
            await trio.sleep(KEYED_SECONDS + 1)
            harness.directory.evacuations.end(LOCAL)
            started_at = trio.current_time()
            chosen = await harness.keyed.choose(SERVICE, make_request(), KEY)
            assert chosen.server == harness.local
            assert trio.current_time() == started_at

        run(scenario)


def _limit_route(harness: GatewayHarness, name: str) -> None:
    """Limit a route of the harness to the local region."""
    configuration = harness.routes.table.configuration
    routes = tuple(
        replace(route, allowed_regions=LOCAL_REGION)
        if route.name == name
        else route
        for route in configuration.routes
    )
    harness.routes.offer(replace(configuration, routes=routes, version=8), 2)


def _evacuate_at_connect(harness: GatewayHarness) -> None:
    """Evacuate the remote data centre while a connection to it is opened."""
    acquire = harness.pool.acquire

    async def acquire_late(server, request):
        connection = await acquire(server, request)
        if server.data_centre == REMOTE_DATA_CENTRE:
            now = trio.current_time()
            harness.directory.evacuations.begin(REMOTE_DATA_CENTRE, now)
        return connection

    harness.pool.acquire = acquire_late


class TestSending:
    """Requests that are sent, with their repeats."""

    def test_repeat_stays_in_region(self, run_scenario) -> None:
        """A failed attempt is not repeated in another region."""

        async def scenario(harness: GatewayHarness) -> None:
            _limit_route(harness, 'reads')
            local = await harness.add_faulty_backend(
                'reads', 's1', Fault.RESET, 9
            )
            remote = await harness.add_backend(
                'reads', 's2', data_centre=REMOTE_DATA_CENTRE
            )
            answer = await harness.send_request('GET', '/reads/a')
            assert answer.status == 502
            assert (len(local.requests), len(remote.requests)) == (1, 0)

        run_scenario(scenario)

    def test_repeat_in_region(self, run_scenario) -> None:
        """A failed attempt is repeated at another server of the region."""

        async def scenario(harness: GatewayHarness) -> None:
            _limit_route(harness, 'reads')
            for name, times in (('s1', 1), ('s2', 0)):
                await harness.add_faulty_backend(
                    'reads', name, Fault.RESET, times
                )
            remote = await harness.add_backend(
                'reads', 's3', data_centre=REMOTE_DATA_CENTRE
            )
            for number in range(2):
                answer = await harness.send_request(
                    'GET', '/reads/a', b'', f'id{number}'
                )
                assert answer.status == 200
            assert not remote.requests

        run_scenario(scenario)

    def test_repeat_after_evacuation(self, run_scenario) -> None:
        """A failed attempt is not repeated in an evacuated data centre."""

        async def scenario(harness: GatewayHarness) -> None:
            local = await harness.add_faulty_backend(
                'reads', 's1', Fault.RESET, 9
            )
            remote = await harness.add_backend(
                'reads', 's2', data_centre=REMOTE_DATA_CENTRE
            )
            harness.directory.evacuations.begin(REMOTE_DATA_CENTRE)
            answer = await harness.send_request('GET', '/reads/a')
            assert answer.status == 502
            assert (len(local.requests), len(remote.requests)) == (1, 0)

        run_scenario(scenario)

    def test_outside_region_is_not_run(self, run_scenario) -> None:
        """The refusal says that the request has not run, and when to retry."""

        async def scenario(harness: GatewayHarness) -> None:
            _limit_route(harness, 'reads')
            remote = await harness.add_backend(
                'reads', 's1', data_centre=REMOTE_DATA_CENTRE
            )
            answer = await harness.send_request('GET', '/reads/a')
            assert answer.status == 503
            assert answer.body.startswith(b'not run')
            assert float(answer.headers[b'retry-after']) > 0
            assert not remote.requests

        run_scenario(scenario)

    def test_evacuated_while_connecting(self, run_scenario) -> None:
        """A request goes elsewhere if the evacuation begins before it is sent.

        Guards against requests that arrive after the process knew of it. The
        server that was not sent the request does not count as unreachable.
        """

        async def scenario(harness: GatewayHarness) -> None:
            remote = await harness.add_backend(
                'writes', 's2', data_centre=REMOTE_DATA_CENTRE
            )
            _evacuate_at_connect(harness)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 503
            assert not remote.requests
            server = harness.directory.get(ServerId('s2'))
            assert harness.loads.of(server).ejected_until <= trio.current_time()
            local = await harness.add_backend(
                'writes', 's1', data_centre=LOCAL_DATA_CENTRE
            )
            harness.directory.evacuations.end(REMOTE_DATA_CENTRE)
            answer = await harness.send_request('POST', '/writes/a', b'x', 'i2')
            assert answer.status == 200
            assert len(local.requests) + len(remote.requests) == 1

        run_scenario(scenario)

    def test_owner_outside_region(self, run_scenario) -> None:
        """A request for a key of an owner outside is refused, never sent."""

        async def scenario(harness: GatewayHarness) -> None:
            _limit_route(harness, 'keyed')
            remote = await harness.add_backend(
                'keyed', 's1', data_centre=REMOTE_DATA_CENTRE
            )
            await harness.add_backend('keyed', 's2')
            harness.owners.server = harness.directory.get(ServerId('s1'))
            answer = await harness.send_keyed('id1', '5', '500')
            assert answer.status == 503
            assert answer.body.startswith(b'not run')
            assert not remote.requests

        run_scenario(scenario)
