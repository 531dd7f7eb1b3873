"""Faults of the registry, of resignations and of successions, by kind.

They are drawn besides those of ``owner_faults`` in a plan of their own, so that
the seeds of the other plan keep their runs.
"""

import trio

from carobwalk.model import Address, ServerId
from tests.keyspace.owner_faults import (
    SERVERS,
    FaultKinds,
    FaultTarget,
    ServerUnderFault,
    fault,
    pause,
    server_fault,
)
from tests.keyspace.simulated_fleet import Router, make_server

_LONGEST_LAG_SECONDS = 4.0
# Ports of the addresses that restarted servers move to.
_FIRST_NEW_PORT = 10_000

registry_fault_kinds = FaultKinds()


@fault('registry-lag', registry_fault_kinds)
async def registry_lag(target: FaultTarget) -> None:
    """The view of one process lags."""
    router = target.router()
    router.registry.lag = target.generator.uniform(0.1, _LONGEST_LAG_SECONDS)
    target.note(f'registry-lag {router.name} {router.registry.lag:.3f}')
    await pause(target, 2, 10)
    router.registry.lag = 0


@fault('registry-stuck', registry_fault_kinds)
async def registry_stuck(target: FaultTarget) -> None:
    """One process gets no changes, and then all of them at once."""
    router = target.router()
    target.note(f'registry-stuck {router.name}')
    router.registry.is_stuck = True
    await pause(target, 0.5, 6)
    target.note(f'registry-stuck {router.name} ends')
    router.registry.is_stuck = False


@fault('entry-missing', registry_fault_kinds)
async def entry_missing(target: FaultTarget) -> None:
    """The entry of a server is missing at one process only."""
    router = target.router()
    server = ServerId(f's{target.generator.randrange(SERVERS)}')
    target.note(f'entry-missing {server} at {router.name}')
    target.fleet.registry.hide(server, router.name)
    await pause(target, 0.3, 6)
    target.note(f'entry-missing {server} at {router.name} ends')
    target.fleet.registry.show(server, router.name)


@fault('entry-outdated', registry_fault_kinds)
async def entry_outdated(target: FaultTarget) -> None:
    """One process sees the entry of a server's former life again."""
    router = target.router()
    server = ServerId(f's{target.generator.randrange(SERVERS)}')
    entry = target.fleet.registry.get(server)
    if entry is None or entry.born == 1:
        return
    former = make_server(int(server[1:]), entry.born - 1)
    target.note(f'entry-outdated {server} at {router.name}')
    router.registry.deliver(lambda directory: directory.put(former, 0))
    await pause(target, 0.1, 4)
    target.fleet.registry.show(server, router.name)


@server_fault('entry-vanishes', registry_fault_kinds)
async def entry_vanishes(target: FaultTarget, server: ServerUnderFault) -> None:
    """The entry of a running server vanishes and comes back."""
    target.fleet.registry.remove(ServerId(f's{server.number}'))
    await pause(target, 0.1, 5)
    target.fleet.register_server(server.number, server.holder.born)


@server_fault('restart-elsewhere', registry_fault_kinds)
async def restart_elsewhere(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server restarts under its id at another address."""
    server.holder.refuses_connections = True
    await pause(target, 0, 1)
    start_elsewhere(target, server)
    await pause(target, 0, 2)
    target.fleet.register_server(server.number, server.holder.born + 1)


@server_fault('restart-at-election', registry_fault_kinds)
async def restart_at_election(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server restarts elsewhere; a process that doesn't know it succeeds."""
    leading = leading_routers(target)
    others = []
    for router in target.fleet.routers:
        if router not in leading:
            router.registry.is_stuck = True
            others.append(router)
    server.holder.refuses_connections = True
    await pause(target, 0.2, 1)
    start_elsewhere(target, server)
    target.fleet.register_server(server.number, server.holder.born + 1)
    await pause(target, 0.5, 3)
    await cut_store(target, leading, target.generator.uniform(1, 4))
    for router in others:
        router.registry.is_stuck = False


@server_fault('drain-and-exit', registry_fault_kinds)
async def drain_and_exit(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server drains or only removes its entry, exits, and comes back."""
    if target.generator.randrange(2):
        target.fleet.leave(server.number)
        await pause(target, 0.5, 4)
    target.fleet.registry.remove(ServerId(f's{server.number}'))
    await pause(target, 0, 4)
    server.holder.refuses_connections = True
    await pause(target, 0.2, 2)
    start_elsewhere(target, server)
    await pause(target, 0, 2)
    target.fleet.register_server(server.number, server.holder.born + 1)


@server_fault('resign-in-trouble', registry_fault_kinds)
async def resign_in_trouble(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """The coordinator resigns while orders to a server go wrong.

    Its successors may not see the newest state of the registry.
    """
    leading = leading_routers(target)
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
    await resign(target, router)
    server.faults.loses_answers = False
    server.faults.repeat_delay = None
    server.faults.order_delay = 0
    server.holder.apply_delay = None
    await pause(target, 0, 3)
    for other in stuck:
        other.registry.is_stuck = False


@fault('store-turns-away', registry_fault_kinds)
async def store_turns_away(target: FaultTarget) -> None:
    """The store turns away some processes and serves the others."""
    routers = target.fleet.routers
    count = target.generator.randrange(1, len(routers) + 1)
    turned_away = target.generator.sample(routers, count)
    await cut_store(target, turned_away, target.generator.uniform(0.3, 4))


@fault('takeovers', registry_fault_kinds)
async def takeovers(target: FaultTarget) -> None:
    """One coordinator after the other is turned away by the store."""
    for _ in range(target.generator.randrange(2, 5)):
        leading = leading_routers(target)
        await cut_store(target, leading, target.generator.uniform(0.9, 2))
        await pause(target, 0, 0.8)


def leading_routers(target: FaultTarget) -> list[Router]:
    """Return the processes that regard themselves as the coordinator."""
    return [router for router in target.fleet.routers if router.is_coordinating]


def start_elsewhere(target: FaultTarget, server: ServerUnderFault) -> None:
    """Start the next incarnation of a server, mostly at a new address."""
    born = server.holder.born + 1
    if target.generator.randrange(3):
        port = _FIRST_NEW_PORT + 100 * born + server.number
        addresses = target.fleet.book.reach.addresses_by_id
        addresses[ServerId(f's{server.number}')] = Address('127.0.0.1', port)
    holder = target.fleet.start_server(server.number, born)
    holder.clock_rate = server.holder.clock_rate


async def cut_store(
    target: FaultTarget, routers: list[Router], seconds: float
) -> None:
    """Turn processes away from the store for some seconds."""
    names = [router.name for router in routers]
    target.note(f'store-cut {names}')
    for router in routers:
        router.link.is_cut = True
    await trio.sleep(seconds)
    target.note(f'store-cut {names} ends')
    for router in routers:
        router.link.is_cut = False


async def resign(target: FaultTarget, router: Router) -> None:
    """Let a process resign, end it, and start another one."""
    if router not in target.fleet.routers:
        return
    target.note(f'resign {router.name}')
    target.fleet.routers.remove(router)
    target.start_router()
    with trio.move_on_after(3):
        await router.role.resign()
    await pause(target, 0, 0.5)
    target.note(f'{router.name} ends')
    target.fleet.kill(router)
