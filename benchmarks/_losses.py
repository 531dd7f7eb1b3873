"""Losses of owners and coordinators, each in a fleet of its own."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from trio.testing import MockClock

from benchmarks._naive_router import NaiveRouter
from standins.fake_fleet import FakeFleet
from standins.fake_fleet_shape import FleetShape
from standins.fake_meter import STEP_SECONDS, Gap, ServiceMeter
from standins.memory_store import StoreFaults

GROUP: Final = 'north/dc1'
OTHER_GROUP: Final = 'north/dc2'
LIST_LAG_SECONDS: Final = 3
FREEZE_SECONDS: Final = 2
OBSERVATION_SECONDS: Final = 5
SETTLE_SECONDS: Final = 2
# Time between the failure of the store and the loss, unless both are lost at
# once.
OUTAGE_SECONDS: Final = 1
STORE_FAULTS: Final = (
    ('up', StoreFaults(delay=0.005)),
    ('down', StoreFaults(down=True)),
    ('slow', StoreFaults(delay=0.5)),
)

Loss = Callable[['LossRun'], None]


@dataclass(frozen=True, slots=True)
class LossResult:
    """Outcome of one loss.

    Args:
        gap: Longest time without service of any shard, in seconds.
        naive_gap: The same for the naive routers.
        double: Number of violations of exclusive ownership.
        naive_double: Number of samples in which naive entries used two live
            servers for a shard.
        lost: Number of shards that were without service after the loss.
    """

    gap: float
    naive_gap: float
    double: int
    naive_double: int
    lost: int


class LossRun:
    """Fleet in which one loss is injected.

    The methods without a leading underscore are the kinds of losses.

    Args:
        fleet: Fleet of processes and servers.
        seed: Seed of random choices.
    """

    def __init__(self, fleet: FakeFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.owner = self.random.choice(_find_owners(fleet))

    def crash_owner(self) -> None:
        """Crash an owner; the host list drops it."""
        self.fleet.servers[self.owner].crash()
        self.fleet.network.down.add(self.owner)
        self.fleet.host_list.remove(self.owner)

    def silence_owner(self) -> None:
        """Cut an owner off from all others; the host list drops it."""
        _isolate(self.fleet, self.owner)
        self.fleet.host_list.remove(self.owner)

    def freeze_owner(self) -> None:
        """Freeze an owner for ``FREEZE_SECONDS``."""
        self.fleet.network.freeze(self.owner)
        self.fleet.nursery.start_soon(_thaw, self.fleet, self.owner)

    def crash_coordinator(self, group: str = GROUP) -> None:
        """Crash the coordinator of a group."""
        process = self.fleet.coordinator_of(group)
        if process is not None:
            process.crash()

    def silence_coordinator(self) -> None:
        """Cut a coordinator off from all processes and servers.

        It still reaches the store.
        """
        process = self.fleet.coordinator_of(GROUP)
        if process is not None:
            _isolate(self.fleet, process.name)

    def crash_owner_and_other(self) -> None:
        """Crash an owner and the coordinator of the other group."""
        self.crash_owner()
        self.crash_coordinator(OTHER_GROUP)

    def crash_owner_and_own(self) -> None:
        """Crash an owner and the coordinator of its own group."""
        self.crash_owner()
        self.crash_coordinator()

    def crash_owner_and_store(self) -> None:
        """Crash an owner at the instant at which the store fails."""
        self.crash_owner()

    def crash_data_centre(self) -> None:
        """Crash all processes and servers of one data centre."""
        for name in tuple(self.fleet.servers):
            if name.startswith('dc2'):
                self.owner = name
                self.crash_owner()
        for process in self.fleet.processes.values():
            if process.name.startswith('dc2'):
                process.crash()
                self.fleet.host_list.remove(process.name)


def _find_owners(fleet: FakeFleet) -> list[str]:
    """Return the servers of data centre dc1 that own shards."""
    owners = set(fleet.owners().values())
    return sorted(name for name in owners if name.startswith('dc1'))


def _isolate(fleet: FakeFleet, name: str) -> None:
    for peer in (*fleet.processes, *fleet.servers):
        fleet.network.cuts |= {(name, peer), (peer, name)}


async def _thaw(fleet: FakeFleet, name: str) -> None:
    await trio.sleep(FREEZE_SECONDS)
    fleet.network.thaw(name)


class NaiveMeter:
    """Measures service by naive routers that read the same host list.

    Args:
        fleet: Fleet whose servers the routers choose from.
    """

    def __init__(self, fleet: FakeFleet) -> None:
        self.double = 0
        self._fleet = fleet
        self._gaps: dict[str, Gap] = {}
        self._routers = [
            NaiveRouter(fleet.host_list, phase=0.1 * number)
            for number in range(len(fleet.processes))
        ]

    def start(self) -> None:
        """Start the routers."""
        for router in self._routers:
            self._fleet.nursery.start_soon(router.run)

    def longest(self) -> float:
        """Return the longest time without service of any shard in seconds."""
        return max((gap.longest for gap in self._gaps.values()), default=0)

    def sample(self) -> None:
        """Sample all shards; one is served if every router has a live owner."""
        now = trio.current_time()
        for service, shard in self._fleet.record.tokens:
            name = f'{service}/{shard}'
            owners = {router.owner(name) for router in self._routers}
            live = {owner for owner in owners if self._is_live(owner)}
            served = live == owners
            self._gaps.setdefault(name, Gap()).record(served, now)
            self.double += len(live) > 1

    def _is_live(self, server: str | None) -> bool:
        if server is None:
            return False
        network = self._fleet.network
        if network.is_cut_off(server, self._fleet.processes):
            return False
        up = self._fleet.servers[server].is_up
        return up and not network.is_frozen(server)


def run_loss(kind: str, store: str, seed: int) -> LossResult:
    """Run one loss on a virtual clock.

    Args:
        kind: Name of the method of ``LossRun`` that injects the loss.
        store: State of the store, a name in ``STORE_FAULTS``.
        seed: Seed of the fleet and of random choices.
    """
    clock = MockClock(autojump_threshold=0)
    return trio.run(_run, kind, store, seed, clock=clock)


async def _run(kind: str, store: str, seed: int) -> LossResult:
    shape = FleetShape(servers=3, shards_per_server=2, seed=seed)
    async with trio.open_nursery() as nursery:
        fleet = FakeFleet(nursery, shape)
        fleet.start()
        naive = NaiveMeter(fleet)
        naive.start()
        await fleet.wait_until_served()
        run = LossRun(fleet, seed)
        await trio.sleep(SETTLE_SECONDS + run.random.random() / 5)
        fleet.host_list.lag = LIST_LAG_SECONDS
        fleet.inject(dict(STORE_FAULTS)[store])
        await trio.sleep(0 if kind.endswith('_and_store') else OUTAGE_SECONDS)
        getattr(run, kind)()
        result = await _observe(fleet, naive)
        nursery.cancel_scope.cancel()
    return result


async def _observe(fleet: FakeFleet, naive: NaiveMeter) -> LossResult:
    meter = ServiceMeter(fleet)
    end = trio.current_time() + OBSERVATION_SECONDS
    while trio.current_time() < end:
        meter.sample()
        naive.sample()
        await trio.sleep(STEP_SECONDS)
    return LossResult(
        gap=round(meter.longest(), 3),
        naive_gap=round(naive.longest(), 3),
        double=len(fleet.record.violations),
        naive_double=naive.double,
        lost=sum(gap.longest > 0 for gap in meter.gaps.values()),
    )
