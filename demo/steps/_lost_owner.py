"""Crash of the server that owns a key."""

from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step

_KEY = 'owner-lost'
_SERVICE = 'case-registry'
_SERVED_TIMEOUT_SECONDS = 15


@step('an owner is killed; its key is served elsewhere')
async def kill_owner(context: DemoContext) -> str:
    """Kill the owner of a key, wait for a new owner, then restart it.

    Raises:
        StepFailedError: If the killed owner answers.
    """
    entry = context.running_entry(context.caroni)
    seen, _ = await context.wait_until_served(
        entry, _SERVICE, _KEY, _SERVED_TIMEOUT_SECONDS
    )
    owner = seen.server
    await context.processes.kill(owner)
    entry = context.running_entry(context.caroni, 1)
    seen, outage = await context.wait_until_served(
        entry, _SERVICE, _KEY, _SERVED_TIMEOUT_SECONDS
    )
    await context.caroni.servers.start_server(owner)
    if seen.server == owner:
        raise StepFailedError(f'{owner} answered although it was killed')
    return f'{owner} lost, served by {seen.server} after {outage:.2f} s'
