"""Registry of the functions that read a frame's body from a message."""

from collections.abc import Callable
from typing import Any

from carobwalk.peer.frames import Body

Reader = Callable[[Any], Body]

readers_by_field: dict[str, Reader] = {}


def reads(field: str) -> Callable[[Reader], Reader]:
    """Register the function that reads one field of the frame union."""

    def decorator(reader: Reader) -> Reader:
        readers_by_field[field] = reader
        return reader

    return decorator
