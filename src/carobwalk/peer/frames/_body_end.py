"""End of a request's body."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """End of a request's body."""
