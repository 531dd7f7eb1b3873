"""Admission of a process's requests to cold servers."""

import random
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.gateway import KeyedChooser, NoTarget, Target
from carobwalk.gateway.choice._cold_draw import draw_server
from carobwalk.gateway.choice._warmup_cap import WarmupCap
from carobwalk.gateway.choice._warmups import Warmups
from tests.gateway.harness import GatewayHarness, SingleOwnerMap
from tests.gateway.test_choosers import ChooserHarness, make_request
from tests.keyspace.simulated_fleet import SERVICE

MAX_BURST = 3
SHARE = 0.3


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


class _ColdHarness(ChooserHarness):
    """Choosers of three servers, of which the first is cold."""

    def __init__(self, seconds: float = 60, *, is_limited: bool = True) -> None:
        super().__init__(3)
        self.loads.warmups = Warmups(self.directory, lambda service: is_limited)
        self.chooser._candidates._is_cold = self.loads.warmups.is_cold
        first = self.directory.all_servers()[0]
        self.directory.put(replace(first, warmup_left=seconds), 2)
        self.cold = first
        owners = SingleOwnerMap()
        owners.server = first
        self.keyed = KeyedChooser(owners, self.loads, self.candidates)

    def tell(self, share: float) -> None:
        """Tell the share of the cold server, as if for some time."""
        for _ in range(2):
            self.loads.warmups.replace({self.cold.incarnation: share})
        known = self.loads.warmups._shares._shares_by_incarnation
        known[self.cold.incarnation] = replace(
            known[self.cold.incarnation], since=-9
        )

    async def choose_drawn(self, draw: float) -> Target | NoTarget:
        request = replace(make_request(), draw=draw)
        return await self.choose(request)


class TestDraw:
    def test_parts(self) -> None:
        """Each server is drawn by its share, and no request for two."""
        shares = {'a': 0.1, 'b': 0.2}
        draws = [
            draw_server(shares, (draw + 0.5) / 1000) for draw in range(1000)
        ]
        assert draws.count('a') == 100
        assert draws.count('b') == 200

    def test_reduced(self) -> None:
        """Shares of more than all requests are reduced alike."""
        shares = dict.fromkeys('abcd', 0.5)
        draws = [draw_server(shares, draw / 1000) for draw in range(1000)]
        assert {draws.count(name) for name in shares} == {250}


class TestCap:
    def test_own_burst(self) -> None:
        """A burst of this process's own traffic is limited at once."""
        cap = WarmupCap(0)
        for second in range(20):
            cap.ask(second)
        taken = 0
        for _ in range(100):
            cap.ask(20)
            taken += cap.take(20, 0.5)
        assert taken == MAX_BURST

    def test_usual_traffic(self) -> None:
        """Random traffic that is as usual loses little."""
        generator = random.Random(1)
        cap = WarmupCap(0)
        now: float = 0
        admitted = 0
        for _ in range(2000):
            now += generator.expovariate(1)
            cap.ask(now)
            is_drawn = generator.random() < SHARE
            admitted += is_drawn and cap.take(now, SHARE)
        assert admitted > 0.9 * SHARE * 2000


class TestWithoutKey:
    def test_drawn(self, run) -> None:
        """A request goes to a cold server if and only if it is drawn."""

        async def scenario() -> None:
            harness = _ColdHarness()
            harness.tell(SHARE)
            for draw in (0, 0.29, 0.31, 0.99):
                chosen = await harness.choose_drawn(draw)
                assert (chosen.server.id == 's0') == (draw < SHARE)
                harness.loads.finish(chosen.server)

        run(scenario)

    def test_no_share(self, run) -> None:
        """Without a share told within a second, none goes to a cold server."""

        async def scenario() -> None:
            harness = _ColdHarness()
            for seconds in (0, 1.1):
                await trio.sleep(seconds)
                chosen = await harness.choose_drawn(0)
                assert chosen.server.id != 's0'
                harness.tell(1)

        run(scenario)

    def test_without_limit(self, run) -> None:
        """Without a limit in the configuration, cold servers are as others."""

        async def scenario() -> None:
            harness = _ColdHarness(is_limited=False)
            chosen = [await harness.choose_drawn(0.9) for _ in range(12)]
            assert 's0' in {target.server.id for target in chosen}

        run(scenario)

    def test_only_cold(self, run) -> None:
        """If all servers are cold, a request not drawn is refused at once."""

        async def scenario() -> None:
            harness = _ColdHarness()
            for server in harness.directory.all_servers()[1:]:
                harness.directory.put(replace(server, warmup_left=60), 2)
            harness.tell(0.1)
            started_at = trio.current_time()
            chosen = await harness.choose_drawn(0.5)
            assert isinstance(chosen, NoTarget)
            assert trio.current_time() == started_at
            # Guards against a report of an evacuation that there isn't.
            assert 'evacuated' not in chosen.detail

        run(scenario)

    def test_known_to_coordinator(self, run) -> None:
        """A share limits a server that is not known here to be cold yet."""

        async def scenario() -> None:
            harness = _ColdHarness(seconds=0)
            harness.tell(0.2)
            for _ in range(9):
                chosen = await harness.choose_drawn(0.5)
                assert chosen.server.id != 's0'
                harness.loads.finish(chosen.server)

        run(scenario)

    def test_ramp(self, run) -> None:
        """A share is halved in its first second."""

        async def scenario() -> None:
            harness = _ColdHarness()
            shares = harness.loads.warmups._shares
            incarnation = harness.cold.incarnation
            for expected in (0.2, 0.2, 0.4):
                harness.loads.warmups.replace({incarnation: 0.4})
                assert shares.of(incarnation) == pytest.approx(expected)
                await trio.sleep(0.6)

        run(scenario)


class TestWithKey:
    def test_drawn(self, run) -> None:
        """A request for a cold owner is sent if drawn, else refused at once."""

        async def scenario() -> None:
            harness = _ColdHarness()
            harness.tell(SHARE)
            for draw in (0.1, 0.4):
                request = replace(make_request(), draw=draw)
                chosen = await harness.keyed.choose(SERVICE, request, 7)
                assert isinstance(chosen, Target if draw < SHARE else NoTarget)
            assert chosen.retry_after == pytest.approx(0.1 / SHARE)

        run(scenario)

    def test_waits_for_share(self, run) -> None:
        """A request waits for a share as long as for an owner."""

        async def scenario() -> None:
            harness = _ColdHarness()
            async with trio.open_nursery() as nursery:

                async def tell() -> None:
                    await trio.sleep(0.1)
                    harness.tell(1)

                nursery.start_soon(tell)
                request = make_request()
                chosen = await harness.keyed.choose(SERVICE, request, 7)
            assert isinstance(chosen, Target)

        run(scenario)

    def test_all_cold(self, run) -> None:
        """A request also waits for a share if all servers are cold.

        Guards against refusals, as if all were evacuated, after a restart of
        all servers.
        """

        async def scenario() -> None:
            harness = _ColdHarness()
            for server in harness.directory.all_servers()[1:]:
                harness.directory.put(replace(server, warmup_left=60), 2)
            async with trio.open_nursery() as nursery:

                async def tell() -> None:
                    await trio.sleep(0.1)
                    harness.tell(1)

                nursery.start_soon(tell)
                chosen = await harness.keyed.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, Target)

        run(scenario)

    def test_accurate_retry(self, run) -> None:
        """A refusal without a share names when the server will be warm."""

        async def scenario() -> None:
            harness = _ColdHarness(seconds=0.9)
            request = make_request(seconds=1)
            chosen = await harness.keyed.choose(SERVICE, request, 7)
            assert isinstance(chosen, NoTarget)
            assert 'cold' in chosen.detail
            assert chosen.retry_after == pytest.approx(0.6, abs=0.01)

        run(scenario)

    def test_turns_cold_during_wait(self, run) -> None:
        """A request that waited for a warm owner is drawn when it is cold.

        Guards against a queue that empties into a server that has become cold.
        """

        async def scenario() -> None:
            harness = _ColdHarness(seconds=0)
            load = harness.loads.of_keyed(harness.cold)
            while load.has_capacity:
                load.start()
            async with trio.open_nursery() as nursery:

                async def turn_cold() -> None:
                    await trio.sleep(0.05)
                    server = replace(harness.cold, warmup_left=60)
                    harness.directory.put(server, 3)
                    harness.tell(0.2)
                    load.finish()

                nursery.start_soon(turn_cold)
                request = replace(make_request(), draw=0.5)
                chosen = await harness.keyed.choose(SERVICE, request, 7)
            assert isinstance(chosen, NoTarget)
            assert 'cold' in chosen.detail

        run(scenario)


class TestDemand:
    def test_counted(self, run_scenario) -> None:
        """Requests of callers count as demand, also those refused."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1')
            for path in ('/reads/a', '/reads/b', '/writes/a'):
                await harness.send_request('GET', path)
            counts = dict(harness.loads.demand.pop_all())
            assert counts == {'reads': 2, 'writes': 1}
            assert harness.loads.demand.pop_all() == ()

        run_scenario(scenario)
