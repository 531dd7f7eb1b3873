"""Settings that bound memory, connections and waits."""

from dataclasses import dataclass

from carobwalk.settings._ranges import Connections, MessageSize, Wait


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on what callers and peers can take up.

    Args:
        header_bytes: Longest request line and header fields together.
        caller_connections: Connections of callers open at once.
        caller_idle_seconds: Longest wait for a request on a connection.
        caller_header_seconds: Longest wait from the first byte of a request
            to the end of its header fields.
        caller_stall_seconds: Longest wait for the next part of a body, or for
            the caller to take the next part of an answer.
        drain_seconds: Longest time for requests in flight at a stop.
    """

    header_bytes: MessageSize = 32_768
    caller_connections: Connections = 4096
    caller_idle_seconds: Wait = 60.0
    caller_header_seconds: Wait = 10.0
    caller_stall_seconds: Wait = 30.0
    drain_seconds: Wait = 30.0
