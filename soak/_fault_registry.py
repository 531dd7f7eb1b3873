"""Registry of kinds of faults, and the schedule that a seed gives."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak._scene import Scene

Inject = Callable[[Scene, random.Random], Awaitable[None]]

_injects_by_kind: dict[str, Inject] = {}


@dataclass(frozen=True, slots=True)
class Step:
    """One fault of a schedule.

    Args:
        at: Seconds after the start of the faults.
        kind: Its kind.
        seed: Source of its details.
    """

    at: float
    kind: str
    seed: int

    async def inject(self, scene: Scene) -> None:
        """Put the fault in force and end it."""
        await _injects_by_kind[self.kind](scene, random.Random(self.seed))


@dataclass(frozen=True, slots=True)
class _Registration:
    kind: str

    def __call__(self, inject: Inject) -> Inject:
        _injects_by_kind[self.kind] = inject
        return inject


def fault(kind: str) -> Callable[[Inject], Inject]:
    """Return a decorator that registers a kind of fault."""
    return _Registration(kind)


def make_schedule(seed: int, seconds: float, count: int) -> tuple[Step, ...]:
    """Return the faults of a seed in the order of their times.

    Args:
        seed: Source of the schedule.
        seconds: Time in which the faults begin.
        count: Number of faults.
    """
    chooser = random.Random(seed)
    kinds = sorted(_injects_by_kind)
    steps = [
        Step(
            at=round(chooser.uniform(0, seconds), 3),
            kind=chooser.choice(kinds),
            seed=chooser.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    return tuple(sorted(steps, key=lambda step: step.at))
