"""Faults of the registry of servers and of the processes' views of it."""

from carobwalk.model import ServerId
from tests.keyspace.owner_faults._kinds import fault, server_fault
from tests.keyspace.owner_faults._target import (
    SERVERS,
    FaultTarget,
    ServerUnderFault,
    pause,
)
from tests.keyspace.simulated_fleet import make_server

_LONGEST_LAG_SECONDS = 4.0


@fault('registry-lag')
async def registry_lag(target: FaultTarget) -> None:
    """The view of one process lags."""
    router = target.router()
    router.registry.lag = target.generator.uniform(0.1, _LONGEST_LAG_SECONDS)
    target.note(f'registry-lag {router.name} {router.registry.lag:.3f}')
    await pause(target, 2, 10)
    router.registry.lag = 0


@fault('registry-stuck')
async def registry_stuck(target: FaultTarget) -> None:
    """One process gets no changes, and then all of them at once."""
    router = target.router()
    target.note(f'registry-stuck {router.name}')
    router.registry.is_stuck = True
    await pause(target, 0.5, 6)
    target.note(f'registry-stuck {router.name} ends')
    router.registry.is_stuck = False


@fault('entry-missing')
async def entry_missing(target: FaultTarget) -> None:
    """The entry of a server is missing at one process only."""
    router = target.router()
    server = ServerId(f's{target.generator.randrange(SERVERS)}')
    target.note(f'entry-missing {server} at {router.name}')
    target.fleet.registry.hide(server, router.name)
    await pause(target, 0.3, 6)
    target.note(f'entry-missing {server} at {router.name} ends')
    target.fleet.registry.show(server, router.name)


@fault('entry-outdated')
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


@server_fault('entry-vanishes')
async def entry_vanishes(target: FaultTarget, server: ServerUnderFault) -> None:
    """The entry of a running server vanishes and comes back."""
    target.fleet.registry.remove(ServerId(f's{server.number}'))
    await pause(target, 0.1, 5)
    target.fleet.register_server(server.number, server.holder.born)
