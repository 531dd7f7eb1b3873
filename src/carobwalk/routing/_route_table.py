"""Lookup of routes by host and path prefix."""

from collections import defaultdict
from typing import Final

from carobwalk.routing._configuration import RoutingConfiguration
from carobwalk.routing._route import Route

_SLASH: Final = '/'


class RouteTable:
    """Routes of one configuration, found by host and longest prefix.

    Args:
        configuration: Configuration whose routes are indexed.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = (
            defaultdict(dict)
        )
        for route in configuration.routes:
            self._routes_by_prefix_by_host[route.host][route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        Args:
            host: Host field of the request, with or without a port.
            target: Path of the request, with or without a query. A prefix
                matches only where a segment of the path ends.
        """
        name = host.partition(':')[0].lower()
        routes_by_prefix = self._routes_by_prefix_by_host.get(name)
        if routes_by_prefix is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind(_SLASH)
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None
