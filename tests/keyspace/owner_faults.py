"""Random faults of a simulated fleet, by kind."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from carobwalk.model import ServerId
from standins.platform import KeyHolder, OrderFaults
from tests.keyspace.simulated_fleet import Router, SimulatedFleet

SERVERS = 4
ROUTERS = 3


@dataclass
class FaultTarget:
    """Fleet that faults are injected into.

    Args:
        fleet: Fleet under test.
        generator: Source of all random choices.
        journal: Times and descriptions of the faults.
        busy: Parts that a fault has hold of; no second one is injected there.
        routers_started: Number of processes started so far.
        errors: Exceptions that a process raised.
    """

    fleet: SimulatedFleet
    generator: random.Random
    journal: list[tuple[float, str]] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    routers_started: int = 0
    errors: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Record a step of a fault."""
        self.journal.append((trio.current_time(), text))

    def router(self) -> Router:
        """Return a process: the coordinator in half of the cases."""
        routers = self.fleet.routers
        leading = [router for router in routers if router.is_coordinating]
        if leading and self.generator.randrange(2):
            return leading[0]
        return self.generator.choice(routers)

    def start_router(self) -> None:
        """Start another process."""
        self.fleet.add_router(f'r{self.routers_started}')
        self.routers_started += 1


@dataclass(frozen=True)
class ServerUnderFault:
    """Server that a fault is injected into.

    Args:
        number: Number of the server.
        holder: Its keys.
        faults: Faults of the way to it.
    """

    number: int
    holder: KeyHolder
    faults: OrderFaults


FaultKind = Callable[[FaultTarget], Awaitable[None]]


class FaultKinds:
    """Registry of the kinds of faults by name."""

    def __init__(self) -> None:
        self._kinds_by_name: dict[str, FaultKind] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all kinds in the order of their registration."""
        return tuple(self._kinds_by_name)

    def add(self, name: str, kind: FaultKind) -> None:
        """Add a kind of fault."""
        self._kinds_by_name[name] = kind

    def find(self, name: str) -> FaultKind:
        """Return a kind of fault by name."""
        return self._kinds_by_name[name]


fault_kinds = FaultKinds()


def fault(
    name: str, kinds: FaultKinds = fault_kinds
) -> Callable[[FaultKind], FaultKind]:
    """Return a decorator that registers a kind of fault."""

    def register(inject: FaultKind) -> FaultKind:
        kinds.add(name, inject)
        return inject

    return register


ServerFault = Callable[[FaultTarget, ServerUnderFault], Awaitable[None]]


def server_fault(
    name: str, kinds: FaultKinds = fault_kinds
) -> Callable[[ServerFault], ServerFault]:
    """Return a decorator that registers a fault of one server.

    One fault at a time is injected into a server.
    """

    def register(inject: ServerFault) -> ServerFault:
        async def run(target: FaultTarget) -> None:
            number = target.generator.randrange(SERVERS)
            part = f's{number}'
            if part in target.busy:
                return
            target.busy.add(part)
            server = ServerId(part)
            found = ServerUnderFault(
                number,
                target.fleet.book.holders_by_id[server],
                target.fleet.book.faults_by_id[server],
            )
            target.note(f'{name} at {part}')
            await inject(target, found)
            target.note(f'{name} at {part} ends')
            target.busy.discard(part)

        kinds.add(name, run)
        return inject

    return register


async def pause(target: FaultTarget, least: float, most: float) -> None:
    """Wait a random time in seconds."""
    await trio.sleep(target.generator.uniform(least, most))


@server_fault('no-connection')
async def no_connection(target: FaultTarget, server: ServerUnderFault) -> None:
    """New connections to a server do not open."""
    server.faults.opens_no_connections = True
    await pause(target, 0.2, 3)
    server.faults.opens_no_connections = False


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


@server_fault('leaving-at-election')
async def leaving_at_election(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A server drains while its orders are slow and the coordinator changes."""
    routers = target.fleet.routers
    leading = [router for router in routers if router.is_coordinating]
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


@server_fault('silent')
async def silent(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders to a server are lost on the way."""
    server.holder.is_unresponsive = True
    await pause(target, 0.2, 4)
    server.holder.is_unresponsive = False


@server_fault('slow-orders')
async def slow_orders(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders arrive late, at most 0.4 s after their sender's timeout."""
    server.faults.order_delay = target.generator.uniform(0.05, 0.75)
    await pause(target, 0.2, 3)
    server.faults.order_delay = 0


@server_fault('late-grants')
async def late_grants(target: FaultTarget, server: ServerUnderFault) -> None:
    """Grants go unanswered and are applied seconds later."""
    server.holder.apply_delay = target.generator.uniform(0.3, 9)
    await pause(target, 0.2, 2)
    server.holder.apply_delay = None


@server_fault('lost-answers')
async def lost_answers(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders are applied, their answers lost, and some are repeated late."""
    server.faults.loses_answers = True
    if target.generator.randrange(2):
        server.faults.repeat_delay = target.generator.uniform(0.3, 9)
    await pause(target, 0.2, 2)
    server.faults.loses_answers = False
    server.faults.repeat_delay = None


@server_fault('late-releases')
async def late_releases(target: FaultTarget, server: ServerUnderFault) -> None:
    """Releases go unanswered and are applied seconds later."""
    server.faults.release_delay = target.generator.uniform(0.3, 6)
    await pause(target, 0.5, 3)
    server.faults.release_delay = None


@server_fault('long-work')
async def long_work(target: FaultTarget, server: ServerUnderFault) -> None:
    """Releases are answered when long work has ended."""
    server.faults.work_seconds = target.generator.uniform(0.1, 1.4)
    await pause(target, 1, 4)
    server.faults.work_seconds = 0


@server_fault('leaving')
async def leaving(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server drains, and is registered as serving again later."""
    target.fleet.leave(server.number)
    await pause(target, 1, 5)
    target.fleet.register_server(server.number, server.holder.born)


@server_fault('restart')
async def restart(target: FaultTarget, server: ServerUnderFault) -> None:
    """A server restarts under its id and is registered somewhat later."""
    server.holder.refuses_connections = True
    await pause(target, 0, 1)
    born = server.holder.born + 1
    holder = target.fleet.start_server(server.number, born)
    holder.clock_rate = server.holder.clock_rate
    await pause(target, 0, 1)
    target.fleet.register_server(server.number, born)


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
    router = target.router()
    target.note(f'resign {router.name}')
    target.fleet.routers.remove(router)
    target.start_router()
    with trio.move_on_after(3):
        try:
            await router.role.resign()
        except RuntimeError as error:
            target.note(f'{router.name} fails to resign: {error}')
            target.errors.append(f'{router.name} fails to resign: {error}')
    await pause(target, 0, 0.3)
    target.note(f'{router.name} ends')
    target.fleet.kill(router)


@fault('freeze')
async def freeze(target: FaultTarget) -> None:
    """A process is frozen for some time."""
    router = target.router()
    target.note(f'freeze {router.name}')
    router.gate.freeze()
    await pause(target, 0.2, 5)
    target.note(f'thaw {router.name}')
    router.gate.thaw()


@fault('store-cut')
async def store_cut(target: FaultTarget) -> None:
    """The store turns one process away and serves the others."""
    router = target.router()
    target.note(f'store-cut {router.name}')
    router.link.is_cut = True
    await pause(target, 0.3, 4)
    target.note(f'store-cut {router.name} ends')
    router.link.is_cut = False


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
