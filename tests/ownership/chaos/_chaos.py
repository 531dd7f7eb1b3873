"""Random choice of faults, and the registry of their kinds."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from standins.fake_fleet import FakeFleet
from standins.memory_store import StoreFaults
from tests.ownership.chaos._servers import start_server

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
