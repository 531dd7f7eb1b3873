"""Fleet and servers that faults are injected into."""

import random
from dataclasses import dataclass, field

import trio

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
        leading = self.leading_routers()
        if leading and self.generator.randrange(2):
            return leading[0]
        return self.generator.choice(self.fleet.routers)

    def leading_routers(self) -> list[Router]:
        """Return the processes that regard themselves as the coordinator."""
        routers = self.fleet.routers
        return [router for router in routers if router.is_coordinating]

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


async def pause(target: FaultTarget, least: float, most: float) -> None:
    """Wait a random time in seconds."""
    await trio.sleep(target.generator.uniform(least, most))
