"""One run: start, faults, recovery and graceful stop."""

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio

from soak._answer_log_check import check_logs
from soak._caller import Caller, RequestGenerator
from soak._event_file import EventFile
from soak._injector import Injector
from soak._invariant_checker import InvariantChecker
from soak._operator import Operator, VersionProbe
from soak._plan import SoakPlan
from soak._recovery import Phase, wait_until_served
from soak._router import Router, RouterLaunch
from soak._server import KEYED_SERVICE, UNKEYED_SERVICE, SoakServer
from soak._store_gate import StoreGate
from soak._testbed import Testbed
from standins.platform import KvHandler, KvStore
from standins.processes import Processes

_SERVICES: Final = (KEYED_SERVICE,) * 3 + (UNKEYED_SERVICE,) * 2
_CALLERS_PER_ROUTER: Final = 3
_START: Final = Phase('start', 30.0)
_RECOVERY: Final = Phase('recovery', 15.0, repeated_after=4.0)
_PAGE_SIZE: Final = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOutcome:
    """Result of a run.

    Args:
        seed: Seed of the run.
        violations: A line for each reported violation.
        faults: Injected faults by kind.
        answers_by_status: Responses to callers by status.
        recovery: Seconds from the end of the faults until all was served.
        freezes: Number of freezes of the soak's own process.
        refusals: Number of the routers' refusals by what their logs tell.
    """

    seed: int
    violations: tuple[str, ...]
    faults: Counter[str]
    answers_by_status: Counter[str]
    recovery: float
    freezes: int
    refusals: Counter[str]


async def run_seed(seed: int, plan: SoakPlan, directory: Path) -> SoakOutcome:
    """Run one seed.

    Args:
        seed: Seed of the schedule and of the callers.
        plan: Size and duration.
        directory: Directory for settings and logs of the routers.

    Raises:
        ProcessError: If a router does not start.
    """
    run = _Run(seed, plan, directory)
    async with Processes(directory) as processes:
        await run.execute(processes)
    return run.outcome()


class _Run:
    def __init__(self, seed: int, plan: SoakPlan, directory: Path) -> None:
        self._seed = seed
        self._plan = plan
        self._directory = directory
        self._rng = random.Random(seed)
        store = KvStore()
        self._checker = InvariantChecker()
        self._testbed = Testbed(
            store,
            Operator(store),
            self._checker,
            EventFile(directory / 'soak.log'),
        )
        self._recovery: float = 0
        self._refusals: Counter[str] = Counter()

    def outcome(self) -> SoakOutcome:
        """Return the result."""
        return SoakOutcome(
            seed=self._seed,
            violations=tuple(self._checker.violations),
            faults=self._checker.faults,
            answers_by_status=self._checker.answers_by_status,
            recovery=round(self._recovery, 2),
            freezes=len(self._testbed.freeze_watch.freezes),
            refusals=self._refusals,
        )

    async def execute(self, processes: Processes) -> None:
        """Execute the run."""
        async with trio.open_nursery() as nursery:
            await self._start(processes, nursery)
            await wait_until_served(self._testbed, _START)
            self._start_callers(nursery)
            await Injector(self._seed, self._plan, self._testbed).run()
            self._testbed.heal()
            self._recovery = await wait_until_served(self._testbed, _RECOVERY)
            await self._stop_all()
            self._testbed.monitor.finish()
            nursery.cancel_scope.cancel()
        # Its work would count as a freeze of the stand-ins.
        self._refusals = await check_logs(self._testbed, self._directory)
        self._testbed.event_file.close()

    async def _start(
        self,
        processes: Processes,
        nursery: trio.Nursery,
    ) -> None:
        testbed = self._testbed
        testbed.operator.write_next()
        nursery.start_soon(testbed.monitor.run)
        nursery.start_soon(testbed.freeze_watch.run)
        names = tuple(
            f'router-{number}' for number in range(self._plan.routers)
        )
        for number, service in enumerate(_SERVICES):
            name = f'{service}-{number}'
            server = SoakServer(name, service, testbed.store, testbed, names)
            await nursery.start(server.run)
            testbed.servers.append(server)
        launch = RouterLaunch(self._directory, self._plan.module)
        handler = KvHandler(testbed.store, _PAGE_SIZE)
        for name in names:
            gate = StoreGate(handler, testbed.address_book.of_router(name))
            router = Router(name, launch, processes, gate, testbed.event_file)
            await router.serve_store(nursery)
            testbed.routers.append(router)
            nursery.start_soon(router.start)
            nursery.start_soon(router.waits.run)

    def _start_callers(self, nursery: trio.Nursery) -> None:
        watch = self._testbed.freeze_watch
        for router in self._testbed.routers:
            for number in range(_CALLERS_PER_ROUTER):
                rng = random.Random(self._rng.random())
                generator = RequestGenerator(
                    rng, f'{router.name}-{number}', self._testbed.pattern
                )
                caller = Caller(router, self._checker, watch)
                nursery.start_soon(caller.run, generator)
            probe = VersionProbe(
                router,
                self._testbed.operator,
                self._checker,
                Caller(router, self._checker, watch),
            )
            nursery.start_soon(probe.run)

    async def _stop_all(self) -> None:
        """Stop all routers gracefully; no request in flight may be lost."""
        async with trio.open_nursery() as nursery:
            for router in self._testbed.routers:
                nursery.start_soon(self._stop, router)

    async def _stop(self, router: Router) -> None:
        status = await router.stop()
        if status:
            detail = f'{router.name}: exit status {status}'
            self._checker.record_violation('no graceful end', detail)
