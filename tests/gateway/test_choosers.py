"""Where requests are sent and how long they wait; no network."""

from collections import Counter
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CallerRequest,
    KeyedChooser,
    LoadTable,
    NoTarget,
    Place,
    RepeatBudget,
    RepeatRules,
    Target,
    UnkeyedChooser,
)
from carobwalk.model import DataCentreName, RegionName, TrioClock
from tests.gateway.scene import FixedOwners
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.routing.test_routing import make_route

WANTED_SECONDS = 0.25
HALF_OF_DEADLINE = 0.5
HERE = DataCentreName('dc1')
THERE = DataCentreName('dc2')
PLACE = Place(HERE, {HERE: RegionName('r1'), THERE: RegionName('r2')})


def make_request(body: bytes = b'', seconds: float = 1) -> CallerRequest:
    """Return a request that arrives now."""
    now = trio.current_time()
    return CallerRequest(
        id=b'x',
        caller='127.0.0.1',
        method=b'GET',
        target=b'/',
        headers=(),
        body=body,
        route=make_route('/', target_latency=0.25),
        key=7,
        arrived=now,
        deadline=now + seconds,
    )


class Scene:
    """Servers in two data centres."""

    def __init__(self, here: int, there: int = 0) -> None:
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        for number in range(here + there):
            place = HERE if number < here else THERE
            server = replace(make_server(number), data_centre=place)
            self.directory.put(server, 1)
        self.loads = LoadTable(self.directory)
        self.chooser = UnkeyedChooser(self.directory, self.loads, PLACE)

    async def choose(self, request: CallerRequest) -> Target | NoTarget:
        """Choose a server for a request."""
        return await self.chooser.choose(SERVICE, request, frozenset())


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a story in virtual time."""
    return lambda story: trio.run(story, clock=virtual_clock)


class TestUnkeyed:
    def test_nobody(self, run) -> None:
        """Without servers the refusal comes at once."""

        async def story() -> None:
            began = trio.current_time()
            chosen = await Scene(0).choose(make_request())
            assert isinstance(chosen, NoTarget)
            assert trio.current_time() == began

        run(story)

    def test_own_data_centre(self, run) -> None:
        """Large bodies stay in their data centre while it has room."""

        async def story() -> None:
            scene = Scene(2, 6)
            counts = Counter()
            for _ in range(8):
                chosen = await scene.choose(make_request(b'x' * 60_000))
                counts[chosen.server.data_centre] += 1
            assert counts == {HERE: 8}

        run(story)

    def test_overflow(self, run) -> None:
        """Pattern: a burst fills the nearest servers; others take the rest."""

        async def story() -> None:
            scene = Scene(1, 3)
            counts = Counter()
            for _ in range(20):
                chosen = await scene.choose(make_request(b'x' * 4000))
                counts[chosen.server.data_centre] += 1
            assert counts[HERE] >= 4
            assert counts[THERE] >= 10

        run(story)

    def test_slow_server(self, run) -> None:
        """Pattern: one of four servers is five times slower."""

        async def story() -> None:
            scene = Scene(4)
            now = trio.current_time()
            for server in scene.directory.all_servers():
                seconds = 0.5 if server.id == 's0' else 0.1
                for _ in range(30):
                    scene.loads.record_answer(server, now, seconds)
            counts = Counter()
            for _ in range(8):
                chosen = await scene.choose(make_request())
                counts[chosen.server.id] += 1
            assert counts['s0'] == 0

        run(story)

    def test_waits_for_room(self, run) -> None:
        """A request waits for room for a part of the time that is left."""

        async def story() -> None:
            scene = Scene(1)
            server = scene.directory.all_servers()[0]
            while scene.loads.of(server).has_room:
                scene.loads.of(server).start()
            began = trio.current_time()
            assert isinstance(await scene.choose(make_request()), NoTarget)
            waited = trio.current_time() - began
            assert WANTED_SECONDS < waited < HALF_OF_DEADLINE

        run(story)

    def test_urgent_first(self, run) -> None:
        """Room goes to the most urgent request that waits."""

        async def story() -> None:
            scene = Scene(1)
            server = scene.directory.all_servers()[0]
            load = scene.loads.of(server)
            while load.has_room:
                load.start()
            order = []

            async def wait(rank: int) -> None:
                request = make_request(seconds=9)
                route = replace(request.route, rank=rank, target_latency=5)
                chosen = await scene.choose(replace(request, route=route))
                order.append((rank, type(chosen)))

            async with trio.open_nursery() as nursery:
                for rank in (2, 1, 0):
                    nursery.start_soon(wait, rank)
                    await trio.sleep(0.01)
                for _ in range(3):
                    scene.loads.finish(server)
                    await trio.sleep(0.01)
            assert order == [(0, Target), (1, Target), (2, Target)]

        run(story)


class TestKeyed:
    def test_waits_for_room(self, run) -> None:
        """It waits for its owner no longer than an answer can be in time."""

        async def story() -> None:
            scene = Scene(1)
            owners = FixedOwners()
            owners.server = scene.directory.all_servers()[0]
            load = scene.loads.of_keyed(owners.server)
            while load.has_room:
                load.start()
            began = trio.current_time()
            chooser = KeyedChooser(owners, scene.loads)
            chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, NoTarget)
            waited = trio.current_time() - began
            assert 0 < waited <= WANTED_SECONDS

        run(story)

    def test_owner_returns(self, run) -> None:
        """A request waits for a key that is on its way to its next owner."""

        async def story() -> None:
            scene = Scene(1)
            owners = FixedOwners()
            chooser = KeyedChooser(owners, scene.loads)
            async with trio.open_nursery() as nursery:

                async def move() -> None:
                    await trio.sleep(0.12)
                    owners.server = scene.directory.all_servers()[0]

                nursery.start_soon(move)
                chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, Target)

        run(story)

    def test_no_owner(self, run) -> None:
        """A key that stays without an owner is refused in good time."""

        async def story() -> None:
            scene = Scene(1)
            chooser = KeyedChooser(FixedOwners(), scene.loads)
            began = trio.current_time()
            chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, NoTarget)
            waited = trio.current_time() - began
            assert waited < HALF_OF_DEADLINE

        run(story)


class TestRepeatBudget:
    def test_bound(self) -> None:
        """In no window do repeats of all processes pass the bound."""
        rules = RepeatRules(ratio=0.2, slack=64, window=10)
        processes = 12
        budgets = [RepeatBudget(rules, 0) for _ in range(processes)]
        spent = []
        requests = 0
        for tick in range(3000):
            now = tick / 100
            for budget in budgets:
                if tick % 2:
                    budget.count_request(now)
                    requests += now >= 20
                if budget.spend(now, processes):
                    spent.append(now)
        repeats = sum(1 for moment in spent if moment >= 20)
        assert 0 < repeats <= rules.ratio * requests + rules.slack

    def test_restart(self) -> None:
        """A process that just started spends nothing of the slack."""
        budget = RepeatBudget(RepeatRules(ratio=0.2, slack=64, window=10), 0)
        assert not budget.spend(1, 1)
        assert budget.spend(11, 1)
