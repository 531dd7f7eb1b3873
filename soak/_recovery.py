"""Whether all routers serve everything again."""

from dataclasses import replace
from typing import Final

import trio

from soak._caller import Ask, Caller
from soak._router import Router
from soak._scene import Scene
from soak._server import WATCHED_KEYS

_POLL_SECONDS: Final = 0.2
_OK: Final = 200


async def wait_until_served(scene: Scene, what: str, bound: float) -> float:
    """Wait until each router serves each key, a claim and the newest route.

    Args:
        scene: The routers, and where a broken promise goes.
        what: What they come back from.
        bound: Longest wait in seconds.

    Returns:
        Seconds that it took.
    """
    began = trio.current_time()
    missing: list[str] = []
    with trio.move_on_after(bound):
        async with trio.open_nursery() as nursery:
            for router in scene.routers:
                nursery.start_soon(_serve_all, scene, router, missing)
        return trio.current_time() - began
    last = missing[-1] if missing else 'not ready'
    detail = f'{what} in {bound} s: {last}'
    scene.ledger.break_promise('not served again', detail)
    return bound


async def _serve_all(scene: Scene, router: Router, missing: list[str]) -> None:
    await router.wait_until_ready()
    caller = Caller(router, scene.ledger)
    for ask in _whole_offer(router.name, scene.operator.version):
        while True:
            fresh = replace(ask, id=f'{ask.id}-{trio.current_time():.6f}')
            status = await caller.ask(fresh)
            if status == _OK:
                break
            missing.append(f'{router.name} {ask.path} {status}')
            await trio.sleep(_POLL_SECONDS)
    await caller.close()


def _whole_offer(name: str, newest: int) -> list[Ask]:
    lookups = [
        Ask(f'{name}-all', 'GET', f'/lookups/{key}', key=key)
        for key in WATCHED_KEYS
    ]
    return [
        *lookups,
        Ask(f'{name}-all', 'POST', '/claims/1', b'claim'),
        Ask(f'{name}-all', 'GET', f'/at-least-{newest}/x'),
    ]
