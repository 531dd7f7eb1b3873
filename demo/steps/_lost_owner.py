"""Loss of an owner."""

from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene

_KEY = 'owner-lost'
_SERVICE = 'case-registry'
_SERVED_SECONDS = 15


@step('an owner is killed; its key is served elsewhere')
async def kill_owner(scene: Scene) -> str:
    """Kill the owner of a key, and start it again."""
    entry = scene.live_entry(scene.caroni)
    seen, _ = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    owner = seen.server
    await scene.processes.kill(owner)
    entry = scene.live_entry(scene.caroni, 1)
    seen, gap = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    await scene.caroni.servers.start_server(owner)
    if seen.server == owner:
        raise StepFailedError(f'{owner} answered although it was killed')
    return f'{owner} lost, served by {seen.server} after {gap:.2f} s'
