"""Combination of several decorators into one."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Decorator = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Combination:
    decorators: tuple[Decorator, ...]

    def __call__(self, command: Any) -> Any:
        for decorator in reversed(self.decorators):
            command = decorator(command)
        return command


def combine(*decorators: Decorator) -> Decorator:
    """Return a decorator that applies all others, the first one outermost."""
    return _Combination(decorators)
