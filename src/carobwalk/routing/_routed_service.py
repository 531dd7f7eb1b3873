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
    """

    name: ServiceName
    is_keyed: bool
    max_connections: int
