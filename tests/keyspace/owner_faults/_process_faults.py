"""Processes that end, freeze, resign and lose messages of their peers."""

import trio

from tests.keyspace.owner_faults._kinds import fault, server_fault
from tests.keyspace.owner_faults._store_faults import cut_store
from tests.keyspace.owner_faults._target import (
    FaultTarget,
    ServerUnderFault,
    pause,
)
from tests.keyspace.simulated_fleet import Router


@fault('kill')
async def kill(target: FaultTarget) -> None:
    """A process is killed and another one started."""
    if len(target.fleet.routers) == 1:
        return
    router = target.router()
    target.note(f'kill {router.name}')
    target.fleet.routers.remove(router)
    target.fleet.kill(router)
    router.gate.thaw()
    await pause(target, 0, 2)
    target.start_router()


@fault('resign')
async def resign(target: FaultTarget) -> None:
    """A process resigns, ends, and another one is started."""
    await replace_by_resignation(target, target.router(), 0.3)


@fault('freeze')
async def freeze(target: FaultTarget) -> None:
    """A process is frozen for some time."""
    router = target.router()
    target.note(f'freeze {router.name}')
    router.gate.freeze()
    await pause(target, 0.2, 5)
    target.note(f'thaw {router.name}')
    router.gate.thaw()


@fault('slow-peers')
async def slow_peers(target: FaultTarget) -> None:
    """Messages between processes are slow or lost."""
    if 'peers' in target.busy:
        return
    target.busy.add('peers')
    peers = target.fleet.peers
    usual = peers.delay
    peers.delay = target.generator.uniform(0, 0.6)
    peers.loss = target.generator.choice((0, 0, 0.3))
    target.note(f'slow-peers {peers.delay:.3f} {peers.loss}')
    await pause(target, 1, 6)
    peers.delay = usual
    peers.loss = 0
    target.busy.discard('peers')


@server_fault('resign-in-trouble')
async def resign_in_trouble(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """The coordinator resigns while orders to a server go wrong.

    Its successors may not see the newest state of the registry.
    """
    leading = target.leading_routers()
    if not leading:
        return
    router = leading[0]
    generator = target.generator
    server.faults.loses_answers = generator.choice((True, False))
    server.faults.repeat_delay = generator.choice((None, 0.5, 3))
    server.faults.order_delay = generator.uniform(0, 0.7)
    server.holder.apply_delay = generator.choice((None, None, 1, 4))
    router.link.is_cut = generator.choice((True, False))
    router.link.delay = generator.choice((0, 0.1, 0.6))
    stuck = [other for other in target.fleet.routers if other is not router]
    for other in stuck:
        other.registry.is_stuck = generator.choice((True, False))
    await pause(target, 0, 1.4)
    router.link.is_cut = False
    await replace_by_resignation(target, router, 0.5)
    server.faults.loses_answers = False
    server.faults.repeat_delay = None
    server.faults.order_delay = 0
    server.holder.apply_delay = None
    await pause(target, 0, 3)
    for other in stuck:
        other.registry.is_stuck = False


@fault('takeovers')
async def takeovers(target: FaultTarget) -> None:
    """One coordinator after the other is turned away by the store."""
    for _ in range(target.generator.randrange(2, 5)):
        leading = target.leading_routers()
        await cut_store(target, leading, target.generator.uniform(0.9, 2))
        await pause(target, 0, 0.8)


async def replace_by_resignation(
    target: FaultTarget, router: Router, longest_exit: float
) -> None:
    """Let a process resign, end it, and start another one.

    Args:
        target: Fleet of the process.
        router: Process that resigns.
        longest_exit: Most seconds from its resignation to its end.
    """
    if router not in target.fleet.routers:
        return
    target.note(f'resign {router.name}')
    target.fleet.routers.remove(router)
    target.start_router()
    with trio.move_on_after(3):
        try:
            await router.role.resign()
        except RuntimeError as error:
            target.note(f'{router.name} fails to resign: {error}')
            target.errors.append(f'{router.name} fails to resign: {error}')
    await pause(target, 0, longest_exit)
    target.note(f'{router.name} ends')
    target.fleet.kill(router)
