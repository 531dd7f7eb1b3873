"""A planned stop of an entry."""

import trio

from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene
from standins.load import Observation

_SERVICE = 'tien-do'
_WORK_MS = 800
_CALLERS = 8


@step('an entry is stopped by SIGTERM with requests in flight')
async def stop_entry(scene: Scene) -> str:
    """Stop an entry while it has requests in flight; start it again."""
    fleet = scene.dong_phuong
    entry = scene.live_entry(fleet, 1)
    seen: list[Observation] = []
    status: int | None = None
    async with trio.open_nursery() as nursery:
        for number in range(_CALLERS):
            nursery.start_soon(_ask, scene, entry.name, number, seen)
        await trio.sleep(_WORK_MS / 3000)
        status = await scene.processes.stop(entry.name)
    complete = sum(item.told == 'complete' for item in seen)
    await fleet.start_entry(entry.name)
    if status != 0 or complete < _CALLERS:
        raise StepFailedError(
            f'exit status {status}, {complete} of {_CALLERS} complete',
        )
    return f'exit status 0, {complete} of {_CALLERS} in flight complete'


async def _ask(
    scene: Scene,
    entry_name: str,
    number: int,
    seen: list[Observation],
) -> None:
    entry = scene.dong_phuong.entries_by_name[entry_name]
    key = f'stop-{number}'
    seen.append(await scene.ask(entry, _SERVICE, key, work_ms=_WORK_MS))
