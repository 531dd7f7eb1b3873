"""Registry of the steps, in the order in which they are shown."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from demo._scene import Scene

StepFunction = Callable[[Scene], Awaitable[str]]


@dataclass(frozen=True, slots=True)
class Step:
    """A step of the demo.

    Args:
        title: What it shows.
        function: Shows it, and returns what was seen.
    """

    title: str
    function: StepFunction


_steps: list[Step] = []


@dataclass(frozen=True, slots=True)
class _Registration:
    title: str

    def __call__(self, function: StepFunction) -> StepFunction:
        _steps.append(Step(self.title, function))
        return function


def step(title: str) -> _Registration:
    """Register a function as the next step.

    Its ``MissingError`` says that the product can't do that yet.
    """
    return _Registration(title)


def registered_steps() -> tuple[Step, ...]:
    """Return all steps in their order."""
    return tuple(_steps)
