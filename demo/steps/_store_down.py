"""An outage of the store."""

import trio

from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene

_KEY = 'store-down'
_SERVICE = 'tien-do'
_SERVED_SECONDS = 15
_AUTONOMY_SECONDS = 3


@step('the store is down; requests go on, and an owner is lost meanwhile')
async def take_store_down(scene: Scene) -> str:
    """Kill an owner while the store refuses all calls."""
    fleet = scene.dong_phuong
    platform = fleet.platform
    entry = scene.live_entry(fleet)
    seen, _ = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    owner = seen.server
    await platform.control(platform.store, 'PUT', 'faults', b'{"down":true}')
    try:
        # The outage comes first: the coordinator and both holders of a shard
        # must have agreed to do without the store.
        await trio.sleep(_AUTONOMY_SECONDS)
        await scene.processes.kill(owner)
        seen, gap = await scene.wait_served(
            entry,
            _SERVICE,
            _KEY,
            _SERVED_SECONDS,
        )
    finally:
        await platform.control(platform.store, 'PUT', 'faults', b'{}')
        await fleet.servers.start_server(owner)
    if seen.server == owner:
        raise StepFailedError(f'{owner} answered although it was killed')
    return f'{owner} lost, served by {seen.server} after {gap:.2f} s'
