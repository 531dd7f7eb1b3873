"""Registry of the steps of the demo, in the order they run."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from demo._context import DemoContext

StepFunction = Callable[[DemoContext], Awaitable[str]]


@dataclass(frozen=True, slots=True)
class Step:
    """A step of the demo.

    Args:
        title: What the step shows, as it is printed.
        function: Runs the step and returns a one-line result.
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
    """Return a decorator that registers a function as the next step.

    A step that raises ``MissingError`` is reported as not implemented yet
    instead of failed.

    Args:
        title: What the step shows, as it is printed.
    """
    return _Registration(title)


def registered_steps() -> tuple[Step, ...]:
    """Return all steps in the order they run."""
    return tuple(_steps)
