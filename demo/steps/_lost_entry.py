"""Crash of an entry."""

from demo._context import DemoContext
from demo._registry import step

_SERVED_TIMEOUT_SECONDS = 15


@step('an entry is killed; the others take its roles over')
async def kill_entry(context: DemoContext) -> str:
    """Kill an entry, look up many keys through another, then restart it."""
    lost = context.running_entry(context.caroni)
    await context.processes.kill(lost.name)
    entry = context.running_entry(context.caroni)
    times: list[float] = []
    for number in range(20):
        for service in context.caroni.deployment.services:
            served = await context.wait_until_served(
                entry,
                service.name,
                f'entry-lost-{number}',
                _SERVED_TIMEOUT_SECONDS,
            )
            times.append(served[1])
    await context.caroni.start_entry(lost.name)
    return f'{lost.name} lost, slowest key served after {max(times):.2f} s'
