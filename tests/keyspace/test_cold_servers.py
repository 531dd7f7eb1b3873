"""Requests to cold servers, summed over all processes.

Pattern: 82 processes that each send a server a request only every 20 s sent a
cold server 17 requests in one second; it crashes at little more than it can
take. The traffic of the processes is thin and uneven.
"""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerIncarnation
from carobwalk.model import ServerId
from tests.keyspace.warmup_fleet import BOUND, WARMUP_RATE, WarmupFleet

PROCESSES = 82
SEEDS = range(2)
# Time in which all processes have shares after a server has become cold.
SETTLING_SECONDS = 2.0
# Four standard deviations of the rate of one server over 28 s, relative to it.
CHANCE_DEVIATION = 0.37
MIN_USE = 0.75
MAX_REFUSED_AFTER_MOVES = 8
MIN_OWNER_WAIT_SECONDS = 1.2

Scenario = Callable[[WarmupFleet, trio.Nursery], Awaitable[None]]


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario after three seconds of load."""

    def run_scenario(
        scenario: Scenario, seed: int, servers: int, rate: float, **options
    ) -> WarmupFleet:
        async def body() -> WarmupFleet:
            fleet = WarmupFleet(seed, PROCESSES, servers, rate, **options)
            await fleet.run(3)
            async with trio.open_nursery() as nursery:
                await scenario(fleet, nursery)
                nursery.cancel_scope.cancel()
            return fleet

        return trio.run(body, clock=virtual_clock)

    return run_scenario


@pytest.mark.parametrize('seed', SEEDS)
class TestWithoutKeys:
    def test_bound_and_use(self, run, seed: int) -> None:
        """A cold server gets about 0.9 of its rate, and never the bound.

        Guards against limits that are divided among the processes: most parts
        are unused, since each process sends little.
        """

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 30)
            await fleet.run(30)
            outcomes = fleet.outcomes
            assert outcomes.most_in_a_second('s0', began) <= BOUND
            rate = outcomes.rate('s0', began + SETTLING_SECONDS, began + 30)
            assert abs(rate / WARMUP_RATE - 0.9) < CHANCE_DEVIATION
            assert not outcomes.refused

        run(scenario, seed, servers=49, rate=257)

    def test_burst(self, run, seed: int) -> None:
        """Demand that doubles within a second doesn't exceed the bound."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            for number in range(5):
                await fleet.turn_cold(nursery, number, 24)
            await fleet.run(4)
            for _ in range(4):
                fleet.rate *= 2
                await fleet.run(2)
                fleet.rate /= 2
                await fleet.run(3)
            for number in range(5):
                most = fleet.outcomes.most_in_a_second(f's{number}', began)
                assert most <= BOUND

        run(scenario, seed, servers=49, rate=257)

    def test_new_coordinator(self, run, seed: int) -> None:
        """A takeover neither exceeds the bound nor starves the server long.

        Guards against shares computed from the few reports that a new
        coordinator has at first.
        """

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 30)
            await fleet.run(5)
            fleet.coordinator = None
            lost_at = trio.current_time()
            await fleet.run(2)
            fleet.start_coordinator(1)
            taken_over_at = trio.current_time()
            await fleet.run(18)
            outcomes = fleet.outcomes
            assert outcomes.most_in_a_second('s0', began) <= BOUND
            assert not outcomes.rate('s0', lost_at + 1.1, taken_over_at + 1)
            settled_at = taken_over_at + 2 * SETTLING_SECONDS
            rate = outcomes.rate('s0', settled_at, trio.current_time())
            assert rate > 0.7 * WARMUP_RATE

        run(scenario, seed, servers=49, rate=257)


class TestAllCold:
    def test_small_service(self, run) -> None:
        """A service whose servers are all cold is asked for what they take."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            for number in range(17):
                await fleet.turn_cold(nursery, number, 15)
            await fleet.run(15)
            outcomes = fleet.outcomes
            names = [f's{number}' for number in range(17)]
            most = [outcomes.most_in_a_second(name, began) for name in names]
            assert max(most) <= BOUND
            total = sum(
                outcomes.rate(name, began + 3, began + 15) for name in names
            )
            assert MIN_USE < total / (17 * WARMUP_RATE) < 1

        run(scenario, 2, servers=17, rate=93.5)

    def test_little_demand(self, run) -> None:
        """With little demand, a cold server gets no more than warm ones do.

        Guards against requests that all go to a slow server because they fit
        in what it can take.
        """

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 30)
            await fleet.run(30)
            rate = fleet.outcomes.rate('s0', began, began + 30)
            assert rate < 2 * 3 / 10

        run(scenario, 1, servers=10, rate=3)


class TestWithoutCoordinator:
    def test_no_share(self, run) -> None:
        """Processes that no coordinator answers send nothing without a key."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            for process in fleet.processes[1::2]:
                process.is_connected = False
            await fleet.turn_cold(nursery, 0, 12)
            await fleet.run(12)
            outcomes = fleet.outcomes
            assert outcomes.most_in_a_second('s0', began) <= BOUND
            for process in fleet.processes[1::2]:
                assert not process.loads.warmups.sent_by_service
            rate = outcomes.rate('s0', began + SETTLING_SECONDS, began + 12)
            assert rate > 0.7 * WARMUP_RATE

        run(scenario, 1, servers=49, rate=257)

    def test_owner_without_share(self, run) -> None:
        """Requests for keys wait for a share, then are refused accurately."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            fleet.coordinator = None
            await fleet.run(1.1)
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 6)
            await fleet.run(7.5)
            outcomes = fleet.outcomes
            assert not outcomes.rate('s0', began, began + 5.9)
            assert outcomes.rate('s0', began + 6, began + 7.5)
            refusals = [
                (at - began, refusal.retry_after)
                for at, refusal in outcomes.refused
                if 'cold' in refusal.detail
            ]
            assert refusals
            for after, retry_after in refusals:
                assert after >= MIN_OWNER_WAIT_SECONDS
                assert retry_after <= max(6 - after, 0.2) + 0.01

        run(scenario, 1, servers=20, rate=60, is_keyed=True)


@pytest.mark.parametrize('seed', SEEDS)
class TestKeys:
    def test_busy_owner(self, run, seed: int) -> None:
        """An owner that becomes cold is kept within the bound.

        It gets what it can take, and the rest is refused at once.
        """

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 20)
            await fleet.run(20)
            outcomes = fleet.outcomes
            assert outcomes.most_in_a_second('s0', began) <= BOUND
            rate = outcomes.rate('s0', began + SETTLING_SECONDS, began + 20)
            assert 0.7 * WARMUP_RATE < rate < 1.15 * WARMUP_RATE

        run(scenario, seed, servers=40, rate=280, is_keyed=True)

    def test_keys_move(self, run, seed: int) -> None:
        """An owner that becomes cold gives away the keys it can't serve."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            assert fleet.coordinator
            fleet.coordinator.may_move = True
            began = trio.current_time()
            await fleet.turn_cold(nursery, 0, 15)
            await fleet.run(15)
            outcomes = fleet.outcomes
            assert outcomes.most_in_a_second('s0', began) <= BOUND
            load = fleet.coordinator.collector.loads.of('registry')
            s0 = ServerIncarnation(ServerId('s0'), 1)
            owned = sum(
                load.rate(key_range.first, key_range.last)
                for key_range in fleet.reader.key_map
                if key_range.owner == s0
            )
            assert owned < WARMUP_RATE
            # Without moves, about 45 requests are refused in this time.
            late = [
                refusal
                for at, refusal in outcomes.refused
                if at > began + 3 and 'cold' in refusal.detail
            ]
            assert len(late) <= MAX_REFUSED_AFTER_MOVES

        run(scenario, seed, servers=40, rate=280, is_keyed=True)

    def test_soon_warm(self, run, seed: int) -> None:
        """An owner that is warm again within a second keeps its keys."""

        async def scenario(fleet: WarmupFleet, nursery: trio.Nursery) -> None:
            assert fleet.coordinator
            owned = [
                key_range
                for key_range in fleet.reader.key_map
                if key_range.owner.server == 's0'
            ]
            await fleet.turn_cold(nursery, 0, 0.95)
            fleet.coordinator.may_move = True
            await fleet.run(0.9)
            assert owned == [
                key_range
                for key_range in fleet.reader.key_map
                if key_range.owner.server == 's0'
            ]

        run(scenario, seed, servers=40, rate=280, is_keyed=True)
