"""Service that requests are routed to."""

from dataclasses import dataclass

from carobwalk.model import ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedService:
    """Service of the routing configuration.

    Args:
        name: Name of the service.
        is_keyed: Whether each key is owned by one backend server.
        max_connections: Connections that one backend server accepts from all
            processes together.
        warmup_seconds: How long a cold server is usually slow, ``None`` if
            unknown.
        warmup_rate: Requests per second that a cold server can take from all
            processes together, ``None`` without a limit.
    """

    name: ServiceName
    is_keyed: bool
    max_connections: int
    warmup_seconds: float | None = None
    warmup_rate: float | None = None
