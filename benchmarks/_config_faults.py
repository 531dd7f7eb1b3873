"""Injection of faults into the store, the network and the processes."""

import random

import trio

from benchmarks._config_fleet import Fleet, choose_process
from standins.memory_store import StoreFaults

_RECOVERY_PROBABILITY = 0.7


class FaultInjector:
    """Injects random faults, often several at once.

    Args:
        fleet: Processes, store and network.
        generator: Source of randomness.
    """

    def __init__(self, fleet: Fleet, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator

    async def run(self) -> None:
        """Inject faults until cancelled."""
        faults = (
            self._stop_store,
            self._slow_store,
            self._drop_replies,
            self._hold_writes,
            self._cut_region,
            self._restart_process,
            self._restart_watchers,
        )
        while True:
            await trio.sleep(self._generator.uniform(0.5, 4))
            await self._generator.choice(faults)()
            if self._generator.random() < _RECOVERY_PROBABILITY:
                self.recover()

    def recover(self) -> None:
        """Clear all faults and appoint watchers if there are none."""
        for process in self._fleet.processes.values():
            process.store.release_held()
        self._fleet.store_faults = StoreFaults()
        self._fleet.heal()
        if not self._fleet.watchers:
            names = sorted(self._fleet.processes)
            self._fleet.watchers = frozenset(self._generator.sample(names, 2))

    async def _stop_store(self) -> None:
        self._fleet.store_faults = StoreFaults(down=True)
        self._fleet.apply_store_faults()
        await trio.sleep(self._generator.uniform(0.1, 12))

    async def _slow_store(self) -> None:
        delay = self._generator.uniform(0.02, 0.6)
        self._fleet.store_faults = StoreFaults(delay=delay)
        self._fleet.apply_store_faults()
        await trio.sleep(self._generator.uniform(0.1, 6))

    async def _drop_replies(self) -> None:
        count = self._generator.randint(1, 3)
        for _ in range(3):
            process = choose_process(self._fleet, self._generator)
            process.store.inject(StoreFaults(lost_replies=count))
        await trio.sleep(self._generator.uniform(0.1, 2))

    async def _hold_writes(self) -> None:
        held_processes = [
            choose_process(self._fleet, self._generator) for _ in range(4)
        ]
        for process in held_processes:
            process.store.inject(StoreFaults(holds_writes=True, timeout=0.5))
        await trio.sleep(self._generator.uniform(0.1, 6))
        for process in held_processes:
            process.store.release_held()
            process.store.inject(StoreFaults())

    async def _cut_region(self) -> None:
        # The store is in region-0.
        self._fleet.cut(self._generator.choice(('region-1', 'region-2')))
        await trio.sleep(self._generator.uniform(0.1, 8))

    async def _restart_process(self) -> None:
        self._fleet.restart(choose_process(self._fleet, self._generator))

    async def _restart_watchers(self) -> None:
        for name in sorted(self._fleet.watchers):
            self._fleet.restart(self._fleet.processes[name])
        self._fleet.watchers = frozenset()
        await trio.sleep(self._generator.uniform(0.1, 3))
