"""Cancellation of an exchange by the connecting side."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of an exchange by the connecting side."""
