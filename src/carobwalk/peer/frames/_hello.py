"""First frame of a connection, sent by the connecting side."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a connection, sent by the connecting side.

    Args:
        process: Id of the connecting process.
    """

    process: str
