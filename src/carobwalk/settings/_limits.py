"""Settings that limit message sizes, connections and waiting times."""

from dataclasses import dataclass

from carobwalk.settings._ranges import (
    ConnectionCount,
    MessageSize,
    TimeoutSeconds,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the resources that callers can use.

    Args:
        header_bytes: Largest total size of the request line and the header
            fields.
        caller_connections: Most connections of callers open at once.
        caller_idle_seconds: Longest wait for the next request on an idle
            connection.
        caller_header_seconds: Longest wait from the first byte of a request
            to the end of its header fields.
        caller_stall_seconds: Longest wait for the next part of a body, or for
            the caller to read the next part of a response.
        drain_seconds: Longest time that requests in flight are given to finish
            during a shutdown.
    """

    header_bytes: MessageSize = 32_768
    caller_connections: ConnectionCount = 4096
    caller_idle_seconds: TimeoutSeconds = 60.0
    caller_header_seconds: TimeoutSeconds = 10.0
    caller_stall_seconds: TimeoutSeconds = 30.0
    drain_seconds: TimeoutSeconds = 30.0
