"""Servers that drain, end and start again."""

from carobwalk.model import Address, ServerId
from tests.keyspace.owner_faults._kinds import server_fault
from tests.keyspace.owner_faults._store_faults import cut_store
from tests.keyspace.owner_faults._target import (
    FaultTarget,
    ServerUnderFault,
    pause,
)
from tests.keyspace.simulated_fleet import make_server

# Time after which the address of an ended server may be used again.
_ADDRESS_REUSE_SECONDS = 2.0
# Ports of the addresses that restarted servers move to.
_FIRST_NEW_PORT = 10_000


@server_fault('leaving')
async def leaving(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server drains, and is registered as serving again later."""
    target.fleet.leave(server.number)
    await pause(target, 1, 5)
    target.fleet.register_server(server.number, server.holder.born)


@server_fault('leaving-at-election')
async def leaving_at_election(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server drains while its orders are slow and the coordinator changes."""
    leading = target.leading_routers()
    if not leading:
        return
    leading[0].link.is_cut = True
    await pause(target, 0.7, 1.3)
    server.faults.order_delay = target.generator.uniform(0.1, 0.4)
    target.fleet.leave(server.number)
    await pause(target, 0.1, 0.6)
    server.faults.order_delay = 0
    await pause(target, 0.5, 2)
    leading[0].link.is_cut = False
    target.fleet.register_server(server.number, server.holder.born)


@server_fault('restart')
async def restart(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server restarts under its id and is registered somewhat later."""
    server.holder.refuses_connections = True
    await pause(target, 0, 1)
    start_again(target, server)
    await pause(target, 0, 1)
    target.fleet.register_server(server.number, server.holder.born + 1)


@server_fault('restart-elsewhere')
async def restart_elsewhere(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server restarts under its id at another address."""
    server.holder.refuses_connections = True
    await pause(target, 0, 1)
    start_elsewhere(target, server)
    await pause(target, 0, 2)
    target.fleet.register_server(server.number, server.holder.born + 1)


@server_fault('restart-at-election')
async def restart_at_election(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server restarts elsewhere; a process that doesn't know it succeeds."""
    leading = target.leading_routers()
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


@server_fault('drain-and-exit')
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


@server_fault('address-reused')
async def address_reused(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server ends, another one gets its address, and it starts elsewhere."""
    reach = target.fleet.book.reach
    name = ServerId(f's{server.number}')
    former = reach.addresses_by_id.get(name)
    former = former or make_server(server.number).address
    server.holder.refuses_connections = True
    await pause(target, _ADDRESS_REUSE_SECONDS, 2 * _ADDRESS_REUSE_SECONDS)
    reach.reused_addresses.add(former)
    await pause(target, 0, 1)
    move_elsewhere(target, server)
    start_again(target, server)
    await pause(target, 0, 2)
    target.fleet.register_server(server.number, server.holder.born + 1)


def start_elsewhere(target: FaultTarget, server: ServerUnderFault) -> None:
    """Start the next incarnation of a server, mostly at a new address."""
    if target.generator.randrange(3):
        move_elsewhere(target, server)
    start_again(target, server)


def move_elsewhere(target: FaultTarget, server: ServerUnderFault) -> None:
    """Let the next incarnation of a server listen at a new address."""
    born = server.holder.born + 1
    port = _FIRST_NEW_PORT + 100 * born + server.number
    addresses = target.fleet.book.reach.addresses_by_id
    addresses[ServerId(f's{server.number}')] = Address('127.0.0.1', port)


def start_again(target: FaultTarget, server: ServerUnderFault) -> None:
    """Start the next incarnation of a server, with the clock of this one."""
    born = server.holder.born + 1
    holder = target.fleet.start_server(server.number, born)
    holder.clock_rate = server.holder.clock_rate
