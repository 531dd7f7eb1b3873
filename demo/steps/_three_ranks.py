"""Requests of all ranks through different entries."""

import trio

from carobwalk.model import Rank
from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene
from standins.load import Observation

_ROUNDS = 10
_TENURE_SECONDS = 2.5


@step('requests of all three ranks through different entries')
async def send_all_ranks(scene: Scene) -> str:
    """Send requests of each rank through each entry in turn."""
    # An action made before its dispatcher's first second may be a repeat of
    # one that an earlier dispatcher sent, so it is told unknown.
    await trio.sleep(_TENURE_SECONDS)
    seen: list[Observation] = []
    for number in range(_ROUNDS):
        for fleet in scene.fleets:
            entry = scene.live_entry(fleet, number)
            services = fleet.deployment.services
            for rank, service in zip(Rank, services, strict=True):
                key = f'{service.name}-{number}'
                seen.append(await scene.ask(entry, service.name, key, rank))
    complete = [item for item in seen if item.told == 'complete']
    astray = [item for item in seen if item.is_astray]
    if astray or len(complete) < len(seen):
        raise StepFailedError(
            f'{len(complete)} of {len(seen)} complete, {len(astray)} astray: '
            f'{[item.error for item in seen if item.error][:3]}',
        )
    slowest = max(item.seconds for item in complete)
    return f'{len(seen)} of {len(seen)} complete, slowest {slowest:.3f} s'
