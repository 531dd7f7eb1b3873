"""One version of the routing configuration."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import RegionName, ServiceName
from carobwalk.routing._route import Route, common_regions
from carobwalk.routing._routed_service import RoutedService


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Args:
        header_bytes: Largest size of request line and header fields together.
        body_bytes: Largest size of a body.
        header_seconds: Longest time for receiving the head of a request.
        idle_seconds: Longest idle time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfiguration:
    """One version of the routing configuration.

    Args:
        version: Number of the version; a higher one replaces a lower one.
        routes: All routes.
        services_by_name: All services.
        limits: Limits on callers' requests and connections.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[ServiceName, RoutedService]
    limits: CallerLimits

    @property
    def keyed_services(self) -> tuple[ServiceName, ...]:
        """Names of the services whose keys have owners."""
        services = self.services_by_name.values()
        return tuple(service.name for service in services if service.is_keyed)

    def common_regions(
        self, service: ServiceName
    ) -> frozenset[RegionName] | None:
        """Return the regions that all routes to a service allow.

        Returns:
            Names of the regions, ``None`` if no route to it limits them.
        """
        common: frozenset[RegionName] | None = None
        for route in self.routes:
            if route.leads_to(service):
                common = common_regions(common, route.allowed_regions)
        return common
