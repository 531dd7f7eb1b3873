"""Readiness of all services through all entries."""

from demo._context import DemoContext
from demo._registry import step

_START_TIMEOUT_SECONDS = 30


@step('every service answers through every entry')
async def serve_everything(context: DemoContext) -> str:
    """Wait until each entry serves each service of its deployment."""
    times: list[float] = []
    for fleet in context.fleets:
        for entry in fleet.entries_by_name.values():
            for service in fleet.deployment.services:
                served = await context.wait_until_served(
                    entry,
                    service.name,
                    'first',
                    _START_TIMEOUT_SECONDS,
                )
                times.append(served[1])
    return f'slowest first answer after {max(times):.1f} s'
