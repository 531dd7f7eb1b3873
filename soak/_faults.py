"""Kinds of faults; importing this module registers them."""

import random

import trio

from soak._fault_registry import fault, make_schedule
from soak._link import LinkState
from soak._router import RouterState
from soak._scene import Scene
from standins.platform import Fault, KeyedBackend

__all__ = ('make_schedule',)

_BAD_LINKS = tuple(
    state for state in LinkState if state is not LinkState.PASSING
)
_BAD_ANSWERS = tuple(fault for fault in Fault if fault is not Fault.NONE)
_SHORTEST_SECONDS = 0.3
_LONGEST_SECONDS = 3.0
_LONGEST_AWAY_SECONDS = 1.5
_LATE_SECONDS = 1.0
_MOST_BAD_ANSWERS = 12
_MOST_CONFIGURATIONS = 4
_SERIES_PAUSE_SECONDS = 0.15


def _duration(chooser: random.Random) -> float:
    return chooser.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)


@fault('router-kill')
async def _kill(scene: Scene, chooser: random.Random) -> None:
    router = chooser.choice(scene.routers)
    away = chooser.uniform(0, _LONGEST_AWAY_SECONDS)
    state = router.state
    if state is RouterState.GONE:
        return
    await router.kill()
    # Who asked a process to end begins its next life, too.
    if state is not RouterState.STOPPING:
        await trio.sleep(away)
        await router.start()


@fault('router-kill-all')
async def _kill_all(scene: Scene, chooser: random.Random) -> None:
    running = [
        router
        for router in scene.routers
        if router.state is RouterState.RUNNING
    ]
    async with trio.open_nursery() as nursery:
        for router in running:
            nursery.start_soon(router.kill)
    async with trio.open_nursery() as nursery:
        for router in running:
            nursery.start_soon(router.start)


@fault('router-stop')
async def _stop(scene: Scene, chooser: random.Random) -> None:
    router = chooser.choice(scene.routers)
    if router.state is RouterState.RUNNING:
        await router.stop()
        await router.start()


@fault('router-pause')
async def _pause(scene: Scene, chooser: random.Random) -> None:
    router = chooser.choice(scene.routers)
    if router.state is RouterState.RUNNING:
        await router.pause(_duration(chooser))


@fault('router-reload')
async def _reload(scene: Scene, chooser: random.Random) -> None:
    router = chooser.choice(scene.routers)
    if router.state is RouterState.RUNNING:
        router.reload()


@fault('store-link')
async def _store_link(scene: Scene, chooser: random.Random) -> None:
    router = chooser.choice(scene.routers)
    router.link.switch(chooser.choice(_BAD_LINKS))
    await trio.sleep(_duration(chooser))
    router.link.switch(LinkState.PASSING)


@fault('store-down')
async def _store_down(scene: Scene, chooser: random.Random) -> None:
    scene.store.is_down = True
    scene.store.records.notify()
    await trio.sleep(_duration(chooser))
    scene.store.is_down = False


@fault('store-loses-answers')
async def _lost_answers(scene: Scene, chooser: random.Random) -> None:
    scene.store.loses_replies = True
    await trio.sleep(_duration(chooser))
    scene.store.loses_replies = False


@fault('store-compacts')
async def _compact(scene: Scene, chooser: random.Random) -> None:
    scene.store.records.compact()


@fault('server-restart')
async def _restart(scene: Scene, chooser: random.Random) -> None:
    chooser.choice(scene.servers).restart()


@fault('server-leave')
async def _leave(scene: Scene, chooser: random.Random) -> None:
    await chooser.choice(scene.servers).leave()


@fault('server-lapse')
async def _lapse(scene: Scene, chooser: random.Random) -> None:
    server = chooser.choice(scene.servers)
    server.lapse()
    await trio.sleep(_duration(chooser))
    server.heal()


@fault('server-link')
async def _server_link(scene: Scene, chooser: random.Random) -> None:
    server = chooser.choice(scene.servers)
    server.link.switch(chooser.choice(_BAD_LINKS))
    await trio.sleep(_duration(chooser))
    server.link.switch(LinkState.PASSING)


@fault('server-bad-answers')
async def _bad_answers(scene: Scene, chooser: random.Random) -> None:
    backend = chooser.choice(scene.servers).backend
    if backend is not None:
        backend.fault = chooser.choice(_BAD_ANSWERS)
        backend.remaining_faults = chooser.randint(1, _MOST_BAD_ANSWERS)


@fault('server-late-grants')
async def _late_grants(scene: Scene, chooser: random.Random) -> None:
    backend = chooser.choice(scene.servers).backend
    if isinstance(backend, KeyedBackend):
        backend.holder.apply_delay = _LATE_SECONDS
        await trio.sleep(_duration(chooser))
        backend.holder.apply_delay = None


@fault('new-configurations')
async def _configurations(scene: Scene, chooser: random.Random) -> None:
    for _ in range(chooser.randint(1, _MOST_CONFIGURATIONS)):
        scene.operator.write_next()
        await trio.sleep(_SERIES_PAUSE_SECONDS)


@fault('old-configuration')
async def _old_configuration(scene: Scene, chooser: random.Random) -> None:
    scene.operator.write(1)
    await trio.sleep(_duration(chooser))
    scene.operator.write(scene.operator.version)
