"""Tests of the choice of servers, queueing and retry budgets."""

from collections import Counter
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CallerRequest,
    CandidateServers,
    KeyedChooser,
    LoadTable,
    Locality,
    NoTarget,
    RegionRules,
    RetryBudgets,
    RetryRules,
    ServerCost,
    SlidingWindowRetryBudget,
    Target,
    UnkeyedChooser,
)
from carobwalk.http import AnswerMemory, AnswerShare
from carobwalk.model import DataCentreName, RegionName, TrioClock
from carobwalk.shares import ProcessShare
from tests.gateway.harness import SingleOwnerMap
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.routing.test_routing import make_route

WANTED_SECONDS = 0.25
HALF_OF_DEADLINE = 0.5
LOCAL = DataCentreName('dc1')
REMOTE = DataCentreName('dc2')
LOCALITY = Locality(LOCAL, {LOCAL: RegionName('r1'), REMOTE: RegionName('r2')})


def make_request(body: bytes = b'', seconds: float = 1) -> CallerRequest:
    """Return a request that arrives now, with a deadline in seconds."""
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
        answer_share=AnswerShare(AnswerMemory(1_000_000)),
    )


class ChooserHarness:
    """Chooser with servers in the local and a remote data centre."""

    def __init__(self, local_count: int, remote_count: int = 0) -> None:
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        for number in range(local_count + remote_count):
            data_centre = LOCAL if number < local_count else REMOTE
            server = replace(make_server(number), data_centre=data_centre)
            self.directory.put(server, 1)
        self.loads = LoadTable(self.directory, ProcessShare())
        self.candidates = CandidateServers(
            self.directory,
            self.loads.warmups.is_cold,
            RegionRules(LOCALITY.regions_by_data_centre),
        )
        self.chooser = UnkeyedChooser(
            self.candidates,
            self.loads,
            ServerCost(self.loads, LOCALITY),
        )

    async def choose(self, request: CallerRequest) -> Target | NoTarget:
        """Return the server chosen for a request."""
        return await self.chooser.choose(SERVICE, request, frozenset())


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


class TestUnkeyed:
    def test_no_servers(self, run) -> None:
        """Without servers, a request is refused immediately."""

        async def scenario() -> None:
            started_at = trio.current_time()
            chosen = await ChooserHarness(0).choose(make_request())
            assert isinstance(chosen, NoTarget)
            assert trio.current_time() == started_at

        run(scenario)

    def test_local_data_centre(self, run) -> None:
        """Large bodies stay in the local data centre while it has capacity."""

        async def scenario() -> None:
            harness = ChooserHarness(2, 6)
            counts = Counter()
            for _ in range(8):
                chosen = await harness.choose(make_request(b'x' * 60_000))
                counts[chosen.server.data_centre] += 1
            assert counts == {LOCAL: 8}

        run(scenario)

    def test_overflow(self, run) -> None:
        """A burst fills the local servers, and the rest goes to remote ones."""

        async def scenario() -> None:
            harness = ChooserHarness(1, 3)
            counts = Counter()
            for _ in range(20):
                chosen = await harness.choose(make_request(b'x' * 4000))
                counts[chosen.server.data_centre] += 1
            assert counts[LOCAL] >= 4
            assert counts[REMOTE] >= 10

        run(scenario)

    def test_slow_server(self, run) -> None:
        """A server five times slower than the other three is not chosen."""

        async def scenario() -> None:
            harness = ChooserHarness(4)
            now = trio.current_time()
            for server in harness.directory.all_servers():
                seconds = 0.5 if server.id == 's0' else 0.1
                for _ in range(30):
                    harness.loads.record_answer(server, now, seconds)
            counts = Counter()
            for _ in range(8):
                chosen = await harness.choose(make_request())
                counts[chosen.server.id] += 1
            assert counts['s0'] == 0

        run(scenario)

    def test_waits_for_capacity(self, run) -> None:
        """A request waits for capacity for part of the time to its deadline."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            server = harness.directory.all_servers()[0]
            while harness.loads.of(server).has_capacity:
                harness.loads.of(server).start()
            started_at = trio.current_time()
            assert isinstance(await harness.choose(make_request()), NoTarget)
            waited = trio.current_time() - started_at
            assert WANTED_SECONDS < waited < HALF_OF_DEADLINE

        run(scenario)

    def test_urgent_first(self, run) -> None:
        """Freed capacity goes to the most urgent waiting request."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            server = harness.directory.all_servers()[0]
            load = harness.loads.of(server)
            while load.has_capacity:
                load.start()
            order = []

            async def wait(rank: int) -> None:
                request = make_request(seconds=9)
                route = replace(request.route, rank=rank, target_latency=5)
                chosen = await harness.choose(replace(request, route=route))
                order.append((rank, type(chosen)))

            async with trio.open_nursery() as nursery:
                for rank in (2, 1, 0):
                    nursery.start_soon(wait, rank)
                    await trio.sleep(0.01)
                for _ in range(3):
                    harness.loads.finish(server)
                    await trio.sleep(0.01)
            assert order == [(0, Target), (1, Target), (2, Target)]

        run(scenario)


class TestKeyed:
    def test_waits_for_capacity(self, run) -> None:
        """A late response has worth: a wait beyond the target isn't refused."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            owners = SingleOwnerMap()
            owners.server = harness.directory.all_servers()[0]
            load = harness.loads.of_keyed(owners.server)
            while load.has_capacity:
                load.start()
            started_at = trio.current_time()
            chooser = KeyedChooser(owners, harness.loads, harness.candidates)
            chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, NoTarget)
            waited = trio.current_time() - started_at
            assert WANTED_SECONDS < waited < HALF_OF_DEADLINE

        run(scenario)

    def test_key_gets_owner(self, run) -> None:
        """A request waits while its key is handed over to the next owner."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            owners = SingleOwnerMap()
            chooser = KeyedChooser(owners, harness.loads, harness.candidates)
            async with trio.open_nursery() as nursery:

                async def move() -> None:
                    await trio.sleep(0.12)
                    owners.server = harness.directory.all_servers()[0]

                nursery.start_soon(move)
                chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, Target)

        run(scenario)

    def test_no_owner(self, run) -> None:
        """A request for a key without owner is refused before its deadline."""

        async def scenario() -> None:
            harness = ChooserHarness(1)
            chooser = KeyedChooser(
                SingleOwnerMap(), harness.loads, harness.candidates
            )
            started_at = trio.current_time()
            chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, NoTarget)
            waited = trio.current_time() - started_at
            assert waited < HALF_OF_DEADLINE

        run(scenario)


class TestSlidingWindowRetryBudget:
    def test_bound(self) -> None:
        """The retries of all processes together stay within the budget."""
        rules = RetryRules(ratio=0.2, slack=64, window=10)
        processes = 12
        budgets = [SlidingWindowRetryBudget(rules) for _ in range(processes)]
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

    def test_restart(self, run) -> None:
        """After a start the slack is unavailable for one window."""

        async def scenario() -> None:
            share = ProcessShare()
            budgets = RetryBudgets(
                RetryRules(ratio=0.2, slack=64, window=10), share
            )
            for _ in range(10):
                share.renew(1)
                assert not budgets.spend(SERVICE)
                await trio.sleep(1)
            share.renew(1)
            assert budgets.spend(SERVICE)

        run(scenario)
