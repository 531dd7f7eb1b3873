"""An outage of the store."""

import trio

from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene
from standins.fleet import EntryProcess

_KEY = 'store-down'
_SERVICE = 'tien-do'
_SERVED_SECONDS = 15
_REQUESTS = 30
_PAUSE_SECONDS = 0.1


@step('the store is down; requests go on, and an owner is lost meanwhile')
async def take_store_down(scene: Scene) -> str:
    """Kill an owner some time after the store began to refuse all calls.

    An owner that is lost in the same instant as the store is outside the
    promise: its keys wait for the store or the host list.
    """
    fleet = scene.dong_phuong
    platform = fleet.platform
    entry = scene.live_entry(fleet)
    seen, _ = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    owner = seen.server
    await platform.control(platform.store, 'PUT', 'faults', b'{"down":true}')
    try:
        # The outage comes first: the coordinator and both holders of a shard
        # must have agreed to do without the store.
        await _ask_on(scene, entry)
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
    return (
        f'{_REQUESTS} requests complete in the outage; '
        f'{owner} lost, served by {seen.server} after {gap:.2f} s'
    )


async def _ask_on(scene: Scene, entry: EntryProcess) -> None:
    for _ in range(_REQUESTS):
        seen = await scene.ask(entry, _SERVICE, _KEY)
        if seen.told != 'complete':
            raise StepFailedError(f'refused in the outage: {seen}')
        await trio.sleep(_PAUSE_SECONDS)
