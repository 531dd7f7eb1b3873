"""Faults of the store and of the connections to it."""

import trio

from carobwalk.model import ServerId
from tests.keyspace.owner_faults._kinds import fault
from tests.keyspace.owner_faults._target import SERVERS, FaultTarget, pause
from tests.keyspace.simulated_fleet import Router


@fault('partition')
async def partition(target: FaultTarget) -> None:
    """The coordinator loses the store, and then servers become unreachable.

    Connections to the servers do not open, for its successor either.
    """
    generator = target.generator
    router = target.router()
    target.note(f'partition: store-cut {router.name}')
    router.link.is_cut = True
    await pause(target, 0.8, 2)
    numbers = generator.sample(range(SERVERS), generator.randrange(1, SERVERS))
    faults_by_id = target.fleet.book.faults_by_id
    cut = [faults_by_id[ServerId(f's{number}')] for number in numbers]
    target.note(f'partition: no connections to {numbers}')
    for faults in cut:
        faults.opens_no_connections = True
    await pause(target, 0.3, 3)
    for faults in cut:
        faults.opens_no_connections = False
    target.note('partition ends')
    router.link.is_cut = False


@fault('store-cut')
async def store_cut(target: FaultTarget) -> None:
    """The store turns one process away and serves the others."""
    turned_away = [target.router()]
    await cut_store(target, turned_away, target.generator.uniform(0.3, 4))


@fault('store-down')
async def store_down(target: FaultTarget) -> None:
    """The store turns all processes away."""
    target.note('store-down')
    target.fleet.store.is_down = True
    await pause(target, 0.3, 4)
    target.note('store-down ends')
    target.fleet.store.is_down = False


@fault('store-slow')
async def store_slow(target: FaultTarget) -> None:
    """Writes of a process to the store are slow."""
    router = target.router()
    router.link.delay = target.generator.uniform(0.02, 0.5)
    target.note(f'store-slow {router.name} {router.link.delay:.3f}')
    await pause(target, 0.3, 3)
    router.link.delay = 0


@fault('store-lost-answers')
async def store_lost_answers(target: FaultTarget) -> None:
    """Writes of a process are done, but not answered."""
    router = target.router()
    target.note(f'store-lost-answers {router.name}')
    router.link.loses_answers = True
    await pause(target, 0.3, 2)
    router.link.loses_answers = False


@fault('store-late-writes')
async def store_late_writes(target: FaultTarget) -> None:
    """Writes of a process are not answered, and done seconds later."""
    router = target.router()
    router.link.write_delay = target.generator.uniform(0.1, 5)
    target.note(f'store-late-writes {router.name}')
    await pause(target, 0.1, 1.5)
    router.link.write_delay = None


@fault('store-turns-away')
async def store_turns_away(target: FaultTarget) -> None:
    """The store turns away some processes and serves the others."""
    routers = target.fleet.routers
    count = target.generator.randrange(1, len(routers) + 1)
    turned_away = target.generator.sample(routers, count)
    await cut_store(target, turned_away, target.generator.uniform(0.3, 4))


async def cut_store(
    target: FaultTarget, routers: list[Router], seconds: float
) -> None:
    """Turn processes away from the store for some seconds."""
    names = ', '.join(router.name for router in routers)
    target.note(f'store-cut {names}')
    for router in routers:
        router.link.is_cut = True
    await trio.sleep(seconds)
    target.note(f'store-cut {names} ends')
    for router in routers:
        router.link.is_cut = False
