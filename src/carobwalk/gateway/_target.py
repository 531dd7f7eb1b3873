"""Where a request is to be sent."""

from dataclasses import dataclass

from carobwalk.directory import BackendServer


@dataclass(frozen=True, slots=True)
class Target:
    """A backend server with room that was taken for one request."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No backend server can take the request in time.

    Args:
        detail: Cause in plain English.
        retry_after: Seconds after which a repeat may be served.
    """

    detail: str
    retry_after: float
