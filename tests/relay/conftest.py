"""Fixtures of the tests of relayed records."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from tests.relay.relay_fleet import RelayFleet

Scenario = Callable[[RelayFleet], Awaitable[None]]


@pytest.fixture
def run_scenario(virtual_clock: MockClock) -> Callable[[Scenario], None]:
    """Run a scenario with an empty fleet."""

    def run(scenario: Scenario) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await scenario(RelayFleet(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)

    return run
