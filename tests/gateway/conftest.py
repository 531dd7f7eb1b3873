"""Fixtures of the gateway's tests."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from tests.gateway.harness import GatewayHarness

Scenario = Callable[[GatewayHarness], Awaitable[None]]


@pytest.fixture
def run_scenario() -> Callable[[Scenario], None]:
    """Return a function that runs a scenario with a started gateway."""

    def run(scenario: Scenario) -> None:
        async def body() -> None:
            async with trio.open_nursery() as nursery:
                harness = GatewayHarness(nursery)
                await harness.start()
                await scenario(harness)
                nursery.cancel_scope.cancel()

        trio.run(body)

    return run
