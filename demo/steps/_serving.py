"""First step: everything is served."""

from demo._registry import step
from demo._scene import Scene

_START_SECONDS = 30


@step('every service answers through every entry')
async def serve_everything(scene: Scene) -> str:
    """Wait until each entry serves each service of its deployment."""
    times: list[float] = []
    for fleet in scene.fleets:
        for entry in fleet.entries_by_name.values():
            for service in fleet.deployment.services:
                served = await scene.wait_served(
                    entry,
                    service.name,
                    'first',
                    _START_SECONDS,
                )
                times.append(served[1])
    return f'slowest first answer after {max(times):.1f} s'
