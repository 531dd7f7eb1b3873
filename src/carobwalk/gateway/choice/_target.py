"""Result of choosing a backend server for a request."""

from dataclasses import dataclass

from carobwalk.directory import BackendServer


@dataclass(frozen=True, slots=True)
class Target:
    """Chosen backend server, with the request counted in its load.

    Args:
        server: The server.
        fence: Fencing token of its grant of the request's key, 0 if servers
            of the service own no keys.
    """

    server: BackendServer
    fence: int = 0


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No backend server can accept the request in time.

    Args:
        detail: Cause, for the answer to the caller and the log.
        retry_after: Seconds after which a retry may succeed.
    """

    detail: str
    retry_after: float
