"""Bytes of body that the receiver can take more."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Credit:
    """Bytes of body that the receiver can take more."""

    size: int
