"""Size limits and timeouts of callers' connections."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Size limits and timeouts of callers' connections.

    Args:
        header_bytes: Maximum size of request line and header fields together.
        connections: Maximum number of open connections.
        idle_seconds: Timeout for the next request on a connection.
        header_seconds: Timeout from the first byte of a request to the end of
            its header fields.
        stall_seconds: Timeout for the next chunk of a request body, and for
            writing a chunk of a response.
    """

    header_bytes: int = 32_768
    connections: int = 4096
    idle_seconds: float = 60.0
    header_seconds: float = 10.0
    stall_seconds: float = 30.0
