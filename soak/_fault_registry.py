"""Registry of fault kinds, and fault schedules derived from a seed."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak._testbed import Testbed

FaultFunction = Callable[[Testbed, random.Random], Awaitable[None]]

_functions_by_kind: dict[str, FaultFunction] = {}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault of a schedule.

    Args:
        start_seconds: Time after the start of the schedule, in seconds.
        kind: Kind that its function is registered under.
        seed: Seed of its random details.
    """

    start_seconds: float
    kind: str
    seed: int

    async def inject(self, testbed: Testbed) -> None:
        """Inject the fault, and end it if it has a duration."""
        await _functions_by_kind[self.kind](testbed, random.Random(self.seed))


@dataclass(frozen=True, slots=True)
class _Registration:
    kind: str

    def __call__(self, function: FaultFunction) -> FaultFunction:
        _functions_by_kind[self.kind] = function
        return function


def fault(kind: str) -> Callable[[FaultFunction], FaultFunction]:
    """Return a decorator that registers a function for a kind of fault."""
    return _Registration(kind)


def make_schedule(
    seed: int, seconds: float, count: int
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a seed in order of their start.

    Args:
        seed: Seed of the schedule.
        seconds: Time during which faults start.
        count: Number of faults.
    """
    rng = random.Random(seed)
    kinds = sorted(_functions_by_kind)
    faults = [
        ScheduledFault(
            start_seconds=round(rng.uniform(0, seconds), 3),
            kind=rng.choice(kinds),
            seed=rng.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.start_seconds))
