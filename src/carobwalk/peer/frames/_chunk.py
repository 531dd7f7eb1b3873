"""A part of a body, in either direction."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a body, in either direction."""

    content: bytes
