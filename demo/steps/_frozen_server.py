"""A server that freezes and comes back."""

import signal

import trio

from carobwalk.model import Rank
from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene
from standins.load import Observation

_KEY = 'frozen'
_SERVICE = 'claims-ledger'
_SERVED_SECONDS = 15
_WORK_MS = 1500


@step('a server freezes with a claim in its hands, and comes back')
async def freeze_server(scene: Scene) -> str:
    """Freeze the owner of a key past its grant, then let it go on."""
    entry = scene.live_entry(scene.caroni)
    seen, _ = await scene.wait_served(entry, _SERVICE, _KEY, _SERVED_SECONDS)
    owner = seen.server
    held: list[Observation] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_claim, scene, held)
        await trio.sleep(_WORK_MS / 3000)
        scene.processes.send(owner, signal.SIGSTOP)
        try:
            seen, gap = await scene.wait_served(
                entry,
                _SERVICE,
                _KEY,
                _SERVED_SECONDS,
            )
        finally:
            scene.processes.send(owner, signal.SIGCONT)
    effects = [
        record.server
        for record in scene.records()
        if record.mark == held[0].mark and record.committed_at is not None
    ]
    if seen.server == owner or owner in effects:
        raise StepFailedError(f'{owner} went on with a key that it had lost')
    return (
        f'{owner} frozen, served by {seen.server} after {gap:.2f} s; '
        f'the claim in its hands: {held[0].told}, effects {len(effects)}'
    )


async def _send_claim(scene: Scene, held: list[Observation]) -> None:
    entry = scene.live_entry(scene.caroni, 1)
    held.append(
        await scene.ask(entry, _SERVICE, _KEY, Rank.MONEY, _WORK_MS),
    )
