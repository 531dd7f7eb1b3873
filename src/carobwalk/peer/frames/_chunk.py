"""Part of a request or response body."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """Part of a request or response body."""

    content: bytes
