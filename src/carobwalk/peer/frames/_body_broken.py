"""The caller went away before the end of its body."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyBroken:
    """The caller went away before the end of its body."""
