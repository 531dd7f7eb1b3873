"""Several options of a command as one decorator."""

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
    """Return a decorator that applies others, the first outermost."""
    return _Combination(decorators)
