"""Random faults for a fake fleet."""

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
class Injected:
    """One fault of a run."""

    time: float
    kind: str
    length: float


class Chaos:
    """Injects faults of random kinds, lengths and victims, several at once.

    Args:
        fleet: Fleet that suffers.
        nursery: Runs the ends of faults.
        seed: Seed of all choices.
    """

    def __init__(
        self,
        fleet: FakeFleet,
        nursery: trio.Nursery,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.injected: list[Injected] = []
        self._nursery = nursery

    async def run(self, length: float) -> None:
        """Inject faults for a while and then mend everything."""
        kinds = sorted(FAULTS.by_name)
        with trio.move_on_after(length):
            while True:
                await trio.sleep(self.random.expovariate(2))
                kind = self.random.choice(kinds)
                duration = self.random.choice((0.1, 0.3, 0.7, 1.5, 4))
                duration *= 0.5 + self.random.random()
                moment = trio.current_time()
                self.injected.append(Injected(moment, kind, duration))
                FAULTS.by_name[kind](self, duration)
        self.mend()

    def later(self, pause: float, action: Callable[[], None]) -> None:
        """Do something after a pause."""

        async def wait() -> None:
            await trio.sleep(pause)
            action()

        self._nursery.start_soon(wait)

    def mend(self) -> None:
        """End all faults."""
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

    def process(self) -> str:
        """Return any process."""
        return self.random.choice(sorted(self.fleet.processes))

    def server(self) -> str:
        """Return any backend server."""
        return self.random.choice(sorted(self.fleet.servers))

    def coordinator(self) -> str:
        """Return a coordinator if there is one."""
        found = [
            process.name
            for process in self.fleet.processes.values()
            if process.role.snapshot().coordinating
        ]
        return self.random.choice(sorted(found)) if found else self.process()


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
    name = chaos.server()
    stop_server(chaos.fleet, name)
    chaos.later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def replace_server(chaos: Chaos, length: float) -> None:
    """Crash a server and take it off the list until it starts again."""
    name = chaos.server()
    stop_server(chaos.fleet, name)
    chaos.fleet.host_list.remove(name)
    chaos.later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def restart_server(chaos: Chaos, length: float) -> None:
    """Restart a server at once."""
    name = chaos.server()
    stop_server(chaos.fleet, name)
    start_server(chaos.fleet, name)


@FAULTS.add
def freeze_server(chaos: Chaos, length: float) -> None:
    """Freeze a server; it goes on as if nothing had happened."""
    name = chaos.server()
    chaos.fleet.network.freeze(name)
    chaos.later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def drain_server(chaos: Chaos, length: float) -> None:
    """Let a server say for a while that it leaves."""
    table = chaos.fleet.servers[chaos.server()].table
    table.leaving = True

    def stay() -> None:
        table.leaving = False

    chaos.later(length, stay)


@FAULTS.add
def freeze_coordinator(chaos: Chaos, length: float) -> None:
    """Freeze a coordinator; it goes on as if nothing had happened."""
    name = chaos.coordinator()
    chaos.fleet.network.freeze(name)
    chaos.later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def crash_coordinator(chaos: Chaos, length: float) -> None:
    """Crash a coordinator; it starts again with empty memory."""
    name = chaos.coordinator()
    if name in chaos.fleet.network.down:
        return
    process = chaos.fleet.processes[name]
    process.crash()

    def start() -> None:
        if name in chaos.fleet.network.down:
            process.restart()

    chaos.later(length, start)


@FAULTS.add
def cut_links(chaos: Chaos, length: float) -> None:
    """Lose what one process sends or receives, to and from some."""
    fleet = chaos.fleet
    name = chaos.coordinator()
    parties = sorted((*fleet.processes, *fleet.servers))
    count = chaos.random.randint(1, len(parties))
    others = chaos.random.sample(parties, count)
    inward = [(other, name) for other in others]
    outward = [(name, other) for other in others]
    pairs = chaos.random.choice((inward, outward, inward + outward))
    fleet.network.cuts.update(pairs)
    chaos.later(length, lambda: fleet.network.cuts.difference_update(pairs))


@FAULTS.add
def lose_packets(chaos: Chaos, length: float) -> None:
    """Lose a share of all messages."""
    network = chaos.fleet.network
    network.loss = chaos.random.choice((0.05, 0.2, 0.5))

    def end() -> None:
        network.loss = 0

    chaos.later(length, end)


@FAULTS.add
def slow_packets(chaos: Chaos, length: float) -> None:
    """Delay a share of all messages, so that they overtake each other."""
    network = chaos.fleet.network
    network.slow_share = chaos.random.choice((0.05, 0.3))
    network.slow_delay = chaos.random.choice((0.2, 1, 3))

    def end() -> None:
        network.slow_share = 0

    chaos.later(length, end)


def _break_store(chaos: Chaos, faults: StoreFaults, length: float) -> None:
    fleet = chaos.fleet
    fleet.inject(faults)
    chaos.later(length, lambda: fleet.inject(StoreFaults()))


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
    """Let writes take effect without a reply, before an outage."""
    _break_store(chaos, StoreFaults(lost_replies=2), length)
    outage = StoreFaults(down=True)
    chaos.later(length, lambda: _break_store(chaos, outage, length))


@FAULTS.add
def store_holds_writes(chaos: Chaos, length: float) -> None:
    """Let writes take effect long after their callers gave up."""
    fleet = chaos.fleet
    _break_store(chaos, StoreFaults(holds_writes=True), length)

    def release() -> None:
        for process in fleet.processes.values():
            process.store.client.release_held()

    chaos.later(length * (1 + chaos.random.random()), release)


@FAULTS.add
def cut_store(chaos: Chaos, length: float) -> None:
    """Cut one coordinator off from the store."""
    client = chaos.fleet.processes[chaos.coordinator()].store.client
    timeout = chaos.fleet.shape.store_timeout
    client.inject(StoreFaults(down=True, timeout=timeout))
    chaos.later(length, lambda: client.inject(StoreFaults(timeout=timeout)))


@FAULTS.add
def lag_host_list(chaos: Chaos, length: float) -> None:
    """Let the host list lag."""
    host_list = chaos.fleet.host_list
    host_list.lag = chaos.random.choice((1, 5))

    def end() -> None:
        host_list.lag = 0

    chaos.later(length, end)


@FAULTS.add
def part_with_server(chaos: Chaos, length: float) -> None:
    """Leave a coordinator and one server alone, with or without the store."""
    fleet = chaos.fleet
    name = chaos.coordinator()
    inside = {name, chaos.server()}
    outside = {*fleet.processes, *fleet.servers} - inside
    pairs = {(one, other) for one in inside for other in outside}
    pairs |= {(other, one) for one, other in pairs}
    timeout = fleet.shape.store_timeout
    client = fleet.processes[name].store.client
    if chaos.random.choice((True, True, False)):
        client.inject(StoreFaults(down=True, timeout=timeout))
    lead = chaos.random.choice((0, 0.8))
    chaos.later(lead, lambda: fleet.network.cuts.update(pairs))

    def end() -> None:
        fleet.network.cuts.difference_update(pairs)
        client.inject(StoreFaults(timeout=timeout))

    chaos.later(lead + length, end)
