"""Injection of the faults of a run, and shifts of its load."""

import random
from typing import Final

import trio

from soak._fault_registry import ScheduledFault
from soak._notice_faults import make_schedule
from soak._ownership_faults import take_over
from soak._plan import SoakPlan
from soak._testbed import Testbed

_MIN_SHIFT_SECONDS: Final = 0.8
_MAX_SHIFT_SECONDS: Final = 3.0
_MAX_TAKEOVER_PAUSE_SECONDS: Final = 1.0


class Injector:
    """Injects the faults of a seed.

    Args:
        seed: Seed of the schedule, the takeovers and the shifts.
        plan: Number, duration and kinds of the faults.
        testbed: Components of the run.
    """

    def __init__(self, seed: int, plan: SoakPlan, testbed: Testbed) -> None:
        self._seed = seed
        self._plan = plan
        self._testbed = testbed

    async def run(self) -> None:
        """Inject all faults, and wait until they have ended."""
        plan = self._plan
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            if plan.takeovers:
                nursery.start_soon(self._take_over_in_series)
            for fault in make_schedule(
                self._seed, plan.seconds, plan.faults, plan.fault_set
            ):
                await trio.sleep_until(began + fault.start_seconds)
                nursery.start_soon(self._inject_one, fault)

    async def _take_over_in_series(self) -> None:
        """Force changes of the coordinator while the load shifts."""
        rng = random.Random(self._seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._shift_load, random.Random(self._seed + 1))
            for _ in range(self._plan.takeovers):
                await take_over(self._testbed, rng, self._plan.max_cut)
                await trio.sleep(rng.uniform(0, _MAX_TAKEOVER_PAUSE_SECONDS))
            nursery.cancel_scope.cancel()

    async def _shift_load(self, rng: random.Random) -> None:
        while True:
            self._testbed.pattern.shift(rng)
            await trio.sleep(
                rng.uniform(_MIN_SHIFT_SECONDS, _MAX_SHIFT_SECONDS)
            )

    async def _inject_one(self, fault: ScheduledFault) -> None:
        self._testbed.checker.faults[fault.kind] += 1
        await fault.inject(self._testbed)
