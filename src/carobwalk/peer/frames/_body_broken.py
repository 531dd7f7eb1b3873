"""The caller disconnected before the end of its request's body."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyBroken:
    """The caller disconnected before the end of its request's body."""
