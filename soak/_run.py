"""One run: start, faults, healing, recovery, planned end."""

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio

from carobwalk.http import serve_http
from carobwalk.model import Address
from soak._caller import AskMaker, Caller
from soak._fault_registry import Step
from soak._faults import make_schedule
from soak._ledger import Ledger
from soak._operator import Operator, VersionProbe
from soak._recovery import wait_until_served
from soak._router import Router, RouterPlaces
from soak._scene import Scene
from soak._server import KEYED_SERVICE, UNKEYED_SERVICE, SoakServer
from standins.platform import KvHandler, KvStore
from standins.processes import Processes

_SERVICES: Final = (KEYED_SERVICE,) * 3 + (UNKEYED_SERVICE,) * 2
_CALLERS_EACH: Final = 3
_START_SECONDS: Final = 30.0
# Bound of the deployment on the time until all is served again.
_RECOVERY_SECONDS: Final = 15.0
_PAGE_SIZE: Final = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Size and length of a run.

    Args:
        routers: Number of processes.
        seconds: Time during which faults are injected.
        faults: Number of faults.
        module: What a router runs, as after ``python -m``.
    """

    routers: int = 3
    seconds: float = 8
    faults: int = 12
    module: tuple[str, ...] = ('carobwalk.platform',)


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOutcome:
    """What a run found.

    Args:
        seed: The seed.
        broken: A line for each broken promise.
        faults: Injected faults by kind.
        answered: Answers to callers by status.
        recovery: Seconds until all was served after the last fault.
    """

    seed: int
    broken: tuple[str, ...]
    faults: Counter[str]
    answered: Counter[str]
    recovery: float


async def run_seed(seed: int, plan: SoakPlan, directory: Path) -> SoakOutcome:
    """Run one seed.

    Args:
        seed: Source of the schedule.
        plan: Size and length.
        directory: Takes settings and logs of the routers.

    Raises:
        ProcessError: If a router doesn't start.
    """
    run = _Run(seed, plan, directory)
    async with Processes(directory) as processes:
        await run.play(processes)
    return run.outcome()


class _Run:
    def __init__(self, seed: int, plan: SoakPlan, directory: Path) -> None:
        self._seed = seed
        self._plan = plan
        self._directory = directory
        self._chooser = random.Random(seed)
        store = KvStore()
        self._ledger = Ledger()
        self._scene = Scene(store, Operator(store), self._ledger)
        self._recovery: float = 0

    def outcome(self) -> SoakOutcome:
        """Return what was found."""
        return SoakOutcome(
            seed=self._seed,
            broken=tuple(self._ledger.broken),
            faults=self._ledger.faults,
            answered=self._ledger.answered,
            recovery=round(self._recovery, 2),
        )

    async def play(self, processes: Processes) -> None:
        """Play the run from start to end."""
        async with trio.open_nursery() as nursery:
            await self._start(processes, nursery)
            await wait_until_served(self._scene, 'start', _START_SECONDS)
            self._start_callers(nursery)
            await self._inject()
            self._scene.heal()
            self._recovery = await wait_until_served(
                self._scene,
                'recovery',
                _RECOVERY_SECONDS,
            )
            await self._stop_all()
            nursery.cancel_scope.cancel()

    async def _start(
        self,
        processes: Processes,
        nursery: trio.Nursery,
    ) -> None:
        scene = self._scene
        address = await _serve_store(scene.store, nursery)
        scene.operator.write_next()
        for number, service in enumerate(_SERVICES):
            name = f'{service}-{number}'
            server = SoakServer(name, service, scene.store, scene)
            await nursery.start(server.run)
            scene.servers.append(server)
        places = RouterPlaces(self._directory, self._plan.module)
        for number in range(self._plan.routers):
            router = Router(f'router-{number}', places, processes, address)
            await nursery.start(router.link.run)
            scene.routers.append(router)
            nursery.start_soon(router.start)

    def _start_callers(self, nursery: trio.Nursery) -> None:
        for router in self._scene.routers:
            for number in range(_CALLERS_EACH):
                chooser = random.Random(self._chooser.random())
                maker = AskMaker(chooser, f'{router.name}-{number}')
                caller = Caller(router, self._ledger)
                nursery.start_soon(caller.run, maker)
            probe = VersionProbe(router, self._scene.operator, self._ledger)
            nursery.start_soon(probe.run)

    async def _inject(self) -> None:
        plan = self._plan
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in make_schedule(self._seed, plan.seconds, plan.faults):
                await trio.sleep_until(began + step.at)
                nursery.start_soon(self._step, step)

    async def _step(self, step: Step) -> None:
        self._ledger.faults[step.kind] += 1
        await step.inject(self._scene)

    async def _stop_all(self) -> None:
        """End all routers as planned; nothing in flight may be lost."""
        async with trio.open_nursery() as nursery:
            for router in self._scene.routers:
                nursery.start_soon(self._stop, router)

    async def _stop(self, router: Router) -> None:
        status = await router.stop()
        if status:
            detail = f'{router.name}: exit status {status}'
            self._ledger.break_promise('no graceful end', detail)


async def _serve_store(store: KvStore, nursery: trio.Nursery) -> Address:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(serve_http, KvHandler(store, _PAGE_SIZE), listeners)
    return Address('127.0.0.1', port)
