"""Loss of an entry."""

from demo._registry import step
from demo._scene import Scene

_SERVED_SECONDS = 15


@step('an entry is killed; the others take its roles over')
async def kill_entry(scene: Scene) -> str:
    """Kill an entry, ask for many keys through another, start it again."""
    lost = scene.live_entry(scene.caroni)
    await scene.processes.kill(lost.name)
    entry = scene.live_entry(scene.caroni)
    times: list[float] = []
    for number in range(20):
        for service in scene.caroni.deployment.services:
            served = await scene.wait_served(
                entry,
                service.name,
                f'entry-lost-{number}',
                _SERVED_SECONDS,
            )
            times.append(served[1])
    await scene.caroni.start_entry(lost.name)
    return f'{lost.name} lost, slowest key served after {max(times):.2f} s'
