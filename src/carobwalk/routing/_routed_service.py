"""Service that routes name."""

from dataclasses import dataclass

from carobwalk.model import ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedService:
    """A service of the configuration.

    Args:
        name: Name of the service.
        is_keyed: Whether each key has one owning backend server.
        max_connections: Connections that one backend server accepts from all
            processes together.
    """

    name: ServiceName
    is_keyed: bool
    max_connections: int
