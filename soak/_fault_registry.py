"""Registry of fault kinds, and fault schedules derived from a seed."""

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TypeVar

from soak._testbed import Testbed

FaultFunction = Callable[[Testbed, random.Random], Awaitable[None]]
_Function = TypeVar('_Function', bound=FaultFunction)


@unique
class FaultSet(StrEnum):
    """Faults that a schedule draws from."""

    GENERAL = 'general'
    OWNERSHIP = 'ownership'
    NOTICES = 'notices'
    RESTORES = 'restores'


_functions_by_kind: dict[str, FaultFunction] = {}
# Each set is fixed, so that seeds keep their schedules.
_kinds_by_set: dict[FaultSet, set[str]] = defaultdict(set)


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
        testbed.event_file.write('fault', kind=self.kind, seed=self.seed)
        await _functions_by_kind[self.kind](testbed, random.Random(self.seed))
        testbed.event_file.write('fault-end', kind=self.kind, seed=self.seed)


@dataclass(frozen=True, slots=True)
class _Registration:
    kind: str
    fault_set: FaultSet

    def __call__(self, function: _Function) -> _Function:
        _functions_by_kind[self.kind] = function
        _kinds_by_set[self.fault_set].add(self.kind)
        return function


def fault(kind: str, fault_set: FaultSet = FaultSet.GENERAL) -> _Registration:
    """Return a decorator that registers a function for a kind of fault."""
    return _Registration(kind, fault_set)


def make_schedule(
    seed: int,
    seconds: float,
    count: int,
    fault_set: FaultSet = FaultSet.GENERAL,
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a seed in order of their start.

    Args:
        seed: Seed of the schedule.
        seconds: Time during which faults start.
        count: Number of faults.
        fault_set: Faults to draw from, besides those of the general set.
    """
    rng = random.Random(seed)
    general_kinds = _kinds_by_set[FaultSet.GENERAL]
    kinds = sorted(general_kinds | _kinds_by_set[fault_set])
    faults = [
        ScheduledFault(
            start_seconds=round(rng.uniform(0, seconds), 3),
            kind=rng.choice(kinds),
            seed=rng.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.start_seconds))
