"""Registry of the functions that fill a message from a frame's body."""

from collections.abc import Callable
from typing import Any, TypeVar

BodyT = TypeVar('BodyT')
Filler = Callable[[Any, BodyT], None]

fillers_by_type: dict[type, Filler[Any]] = {}


def fills(
    body_type: type[BodyT],
) -> Callable[[Filler[BodyT]], Filler[BodyT]]:
    """Register the function that fills a message from one type of body."""

    def decorator(filler: Filler[BodyT]) -> Filler[BodyT]:
        fillers_by_type[body_type] = filler
        return filler

    return decorator
