"""Bounds on what callers can take up."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Bounds on connections, header fields and waits.

    Args:
        header_bytes: Longest request line and header fields together.
        connections: Connections of callers open at once.
        idle_seconds: Longest wait for the next request on a connection.
        header_seconds: Longest wait from the first byte of a request to the
            end of its header fields.
        stall_seconds: Longest wait for the next part of a body, or for the
            caller to take the next part of an answer.
    """

    header_bytes: int = 32_768
    connections: int = 4096
    idle_seconds: float = 60.0
    header_seconds: float = 10.0
    stall_seconds: float = 30.0
