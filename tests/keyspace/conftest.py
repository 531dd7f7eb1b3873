"""Fixtures of the tests of key ownership."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from tests.keyspace.simulated_fleet import SimulatedFleet

Scenario = Callable[[SimulatedFleet], Awaitable[None]]


@pytest.fixture
def run_scenario(
    virtual_clock: MockClock,
) -> Callable[[Scenario, int], SimulatedFleet]:
    """Return a function that runs a scenario and checks exclusive ownership."""

    def run(scenario: Scenario, servers: int = 4) -> SimulatedFleet:
        async def body() -> SimulatedFleet:
            fleet = SimulatedFleet(servers)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                await scenario(fleet)
                nursery.cancel_scope.cancel()
            return fleet

        fleet = trio.run(body, clock=virtual_clock)
        assert fleet.book.violations == []
        return fleet

    return run
