"""End of the body of a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """End of the body of a request."""
