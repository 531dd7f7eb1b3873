"""First frame of the side that dialled."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of the side that dialled."""

    process: str
