"""Tests of the load that replication puts on the store."""

import trio
from trio.testing import MockClock

from benchmarks._config_fleet import Fleet
from standins.memory_store import StoreFaults
from tests.profiles.replication._harness import DOWN, Test, run


class TestStoreCalls:
    """The load on the store is independent of the size of the fleet."""

    def test_outage_causes_no_thundering_herd(
        self, virtual_clock: MockClock
    ) -> None:
        """During and after an outage the total call rate stays low."""
        totals: dict[int, float] = {}

        def make(count: int) -> Test:
            async def test(fleet: Fleet) -> None:
                fleet.store.inject(DOWN)
                await trio.sleep(30)
                before = fleet.spread_calls()
                await trio.sleep(10)
                fleet.store.inject(StoreFaults())
                await trio.sleep(10)
                totals[count] = (fleet.spread_calls() - before) / 20

            return test

        run(virtual_clock, make(12), 12)
        run(MockClock(autojump_threshold=0), make(72), 72)
        # Four polls, and two watchers that each retry twice a second.
        assert totals[12] < 10
        assert totals[72] < 10
