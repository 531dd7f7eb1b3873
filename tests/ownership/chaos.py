"""Random fault injection for a fake fleet."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.store import Host
from standins.fake_fleet import SERVICE, FakeFleet
from standins.memory_store import StoreFaults

FaultFunction = Callable[['Chaos', float], None]


class FaultRegistry:
    """Kinds of faults by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, FaultFunction] = {}

    def add(self, function: FaultFunction) -> FaultFunction:
        """Register a kind of fault by the function's name."""
        self.by_name[function.__name__] = function
        return function


FAULTS: Final = FaultRegistry()


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """One fault that was injected in a run.

    Args:
        time: Time of injection on the virtual clock, in seconds.
        kind: Name of the fault function.
        length: Duration in seconds.
    """

    time: float
    kind: str
    length: float


class Chaos:
    """Injects overlapping faults with random kinds, durations and targets.

    Args:
        fleet: Fleet into which faults are injected.
        nursery: Runs the tasks that end faults.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        fleet: FakeFleet,
        nursery: trio.Nursery,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.injected: list[InjectedFault] = []
        self._nursery = nursery

    async def run(self, length: float) -> None:
        """Inject faults for a number of seconds and then end all faults."""
        kinds = sorted(FAULTS.by_name)
        with trio.move_on_after(length):
            while True:
                await trio.sleep(self.random.expovariate(2))
                kind = self.random.choice(kinds)
                duration = self.random.choice((0.1, 0.3, 0.7, 1.5, 4))
                duration *= 0.5 + self.random.random()
                injected_at = trio.current_time()
                self.injected.append(InjectedFault(injected_at, kind, duration))
                FAULTS.by_name[kind](self, duration)
        self.end_faults()

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""

        async def wait() -> None:
            await trio.sleep(delay)
            action()

        self._nursery.start_soon(wait)

    def end_faults(self) -> None:
        """End all faults and restart everything that is down."""
        fleet = self.fleet
        network = fleet.network
        network.cuts.clear()
        network.loss = 0
        network.slow_share = 0
        for name in (*fleet.processes, *fleet.servers):
            network.thaw(name)
        fleet.host_list.lag = 0
        fleet.inject(StoreFaults())
        for process in fleet.processes.values():
            process.store.client.release_held()
            if process.name in network.down:
                process.restart()
        for name in fleet.servers:
            start_server(fleet, name)

    def any_process(self) -> str:
        """Return the name of a random process."""
        return self.random.choice(sorted(self.fleet.processes))

    def any_server(self) -> str:
        """Return the name of a random backend server."""
        return self.random.choice(sorted(self.fleet.servers))

    def any_coordinator(self) -> str:
        """Return the name of a random coordinator, or process without one."""
        found = [
            process.name
            for process in self.fleet.processes.values()
            if process.role.snapshot().coordinating
        ]
        return (
            self.random.choice(sorted(found)) if found else self.any_process()
        )


def stop_server(fleet: FakeFleet, name: str) -> None:
    """Crash a server."""
    fleet.servers[name].crash()
    fleet.network.down.add(name)


def start_server(fleet: FakeFleet, name: str) -> None:
    """Start a crashed server as a new incarnation, and list it."""
    if name in fleet.network.down:
        fleet.servers[name].restart()
        fleet.network.down.discard(name)
    endpoint = fleet.servers[name].endpoint
    fleet.host_list.put(Host(endpoint, SERVICE, leaving=False))


@FAULTS.add
def crash_server(chaos: Chaos, length: float) -> None:
    """Crash a server; it starts again with empty memory."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    chaos.call_later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def replace_server(chaos: Chaos, length: float) -> None:
    """Crash a server and take it off the list until it starts again."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    chaos.fleet.host_list.remove(name)
    chaos.call_later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def restart_server(chaos: Chaos, length: float) -> None:
    """Restart a server at once."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    start_server(chaos.fleet, name)


@FAULTS.add
def freeze_server(chaos: Chaos, length: float) -> None:
    """Freeze a server; it resumes with its memory intact."""
    name = chaos.any_server()
    chaos.fleet.network.freeze(name)
    chaos.call_later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def drain_server(chaos: Chaos, length: float) -> None:
    """Let a server report temporarily that it is leaving."""
    table = chaos.fleet.servers[chaos.any_server()].table
    table.leaving = True

    def end() -> None:
        table.leaving = False

    chaos.call_later(length, end)


@FAULTS.add
def freeze_coordinator(chaos: Chaos, length: float) -> None:
    """Freeze a coordinator; it resumes with its memory intact."""
    name = chaos.any_coordinator()
    chaos.fleet.network.freeze(name)
    chaos.call_later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def crash_coordinator(chaos: Chaos, length: float) -> None:
    """Crash a coordinator; it starts again with empty memory."""
    name = chaos.any_coordinator()
    if name in chaos.fleet.network.down:
        return
    process = chaos.fleet.processes[name]
    process.crash()

    def start() -> None:
        if name in chaos.fleet.network.down:
            process.restart()

    chaos.call_later(length, start)


@FAULTS.add
def cut_links(chaos: Chaos, length: float) -> None:
    """Drop messages between one process and others in either direction."""
    fleet = chaos.fleet
    name = chaos.any_coordinator()
    parties = sorted((*fleet.processes, *fleet.servers))
    count = chaos.random.randint(1, len(parties))
    others = chaos.random.sample(parties, count)
    inward = [(other, name) for other in others]
    outward = [(name, other) for other in others]
    pairs = chaos.random.choice((inward, outward, inward + outward))
    fleet.network.cuts.update(pairs)
    chaos.call_later(
        length, lambda: fleet.network.cuts.difference_update(pairs)
    )


@FAULTS.add
def lose_packets(chaos: Chaos, length: float) -> None:
    """Drop a share of all messages."""
    network = chaos.fleet.network
    network.loss = chaos.random.choice((0.05, 0.2, 0.5))

    def end() -> None:
        network.loss = 0

    chaos.call_later(length, end)


@FAULTS.add
def slow_packets(chaos: Chaos, length: float) -> None:
    """Delay a share of all messages, so that messages are reordered."""
    network = chaos.fleet.network
    network.slow_share = chaos.random.choice((0.05, 0.3))
    network.slow_delay = chaos.random.choice((0.2, 1, 3))

    def end() -> None:
        network.slow_share = 0

    chaos.call_later(length, end)


def _break_store(chaos: Chaos, faults: StoreFaults, length: float) -> None:
    fleet = chaos.fleet
    fleet.inject(faults)
    chaos.call_later(length, lambda: fleet.inject(StoreFaults()))


@FAULTS.add
def store_down(chaos: Chaos, length: float) -> None:
    """Refuse all calls to the store."""
    _break_store(chaos, StoreFaults(down=True), length)


@FAULTS.add
def store_slow(chaos: Chaos, length: float) -> None:
    """Make the store slow."""
    _break_store(chaos, StoreFaults(delay=0.5), length)


@FAULTS.add
def store_loses_replies(chaos: Chaos, length: float) -> None:
    """Lose the replies to two writes, then refuse all calls."""
    _break_store(chaos, StoreFaults(lost_replies=2), length)
    outage = StoreFaults(down=True)
    chaos.call_later(length, lambda: _break_store(chaos, outage, length))


@FAULTS.add
def store_holds_writes(chaos: Chaos, length: float) -> None:
    """Let writes take effect long after their callers timed out."""
    fleet = chaos.fleet
    _break_store(chaos, StoreFaults(holds_writes=True), length)

    def release() -> None:
        for process in fleet.processes.values():
            process.store.client.release_held()

    chaos.call_later(length * (1 + chaos.random.random()), release)


@FAULTS.add
def cut_store(chaos: Chaos, length: float) -> None:
    """Partition one coordinator from the store."""
    client = chaos.fleet.processes[chaos.any_coordinator()].store.client
    timeout = chaos.fleet.shape.store_timeout
    client.inject(StoreFaults(down=True, timeout=timeout))
    chaos.call_later(
        length, lambda: client.inject(StoreFaults(timeout=timeout))
    )


@FAULTS.add
def lag_host_list(chaos: Chaos, length: float) -> None:
    """Serve an outdated host list."""
    host_list = chaos.fleet.host_list
    host_list.lag = chaos.random.choice((1, 5))

    def end() -> None:
        host_list.lag = 0

    chaos.call_later(length, end)


@FAULTS.add
def partition_with_server(chaos: Chaos, length: float) -> None:
    """Partition a coordinator and a server, with or without the store."""
    fleet = chaos.fleet
    name = chaos.any_coordinator()
    group = {name, chaos.any_server()}
    rest = {*fleet.processes, *fleet.servers} - group
    pairs = {(one, other) for one in group for other in rest}
    pairs |= {(other, one) for one, other in pairs}
    timeout = fleet.shape.store_timeout
    client = fleet.processes[name].store.client
    if chaos.random.choice((True, True, False)):
        client.inject(StoreFaults(down=True, timeout=timeout))
    lead = chaos.random.choice((0, 0.8))
    chaos.call_later(lead, lambda: fleet.network.cuts.update(pairs))

    def end() -> None:
        fleet.network.cuts.difference_update(pairs)
        client.inject(StoreFaults(timeout=timeout))

    chaos.call_later(lead + length, end)
