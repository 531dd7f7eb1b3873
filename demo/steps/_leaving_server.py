"""A planned leave moves keys."""

import trio

from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene

_KEY = 'moved'
_SERVICE = 'dat-hang'
_SERVED_SECONDS = 15
_LEAVE_SECONDS = 10
_PAUSE_SECONDS = 0.02


@step('a server is marked as leaving; its key moves without a refusal')
async def move_key(scene: Scene) -> str:
    """Mark the owner of a key as leaving and ask for the key all the time."""
    fleet = scene.dong_phuong
    entry = scene.live_entry(fleet)
    seen, _ = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    owner = seen.server
    platform = fleet.platform
    await platform.control(platform.host_list, 'POST', f'leaving/{owner}')
    began = trio.current_time()
    refused = 0
    while seen.server == owner or seen.told != 'complete':
        if trio.current_time() - began > _LEAVE_SECONDS:
            raise StepFailedError(
                f'{owner} still owns the key after {_LEAVE_SECONDS} s',
            )
        await trio.sleep(_PAUSE_SECONDS)
        seen = await scene.ask(entry, _SERVICE, _KEY)
        refused += seen.told != 'complete'
    gone = trio.current_time() - began
    await platform.put_host(fleet.servers.hosts_by_name[owner])
    if refused:
        raise StepFailedError(f'{refused} requests were refused in the move')
    return f'{owner} left, {seen.server} serves after {gone:.2f} s'
