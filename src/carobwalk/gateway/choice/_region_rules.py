"""Regions that the requests of a route may be sent to."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.model import DataCentreName, RegionName
from carobwalk.routing import ActiveRoutes, common_regions

_NO_REGIONS: Final[Mapping[DataCentreName, RegionName]] = MappingProxyType({})


class RegionRules:
    """Limits the servers of a request to the regions that its route allows.

    A request that waits while the configuration changes is also bound by the
    route that it would match then. A data centre of
    unknown region is in none of the allowed regions.

    Args:
        regions_by_data_centre: Region of each data centre.
        routes: Routing configuration in force.
    """

    def __init__(
        self,
        regions_by_data_centre: Mapping[
            DataCentreName, RegionName
        ] = _NO_REGIONS,
        routes: ActiveRoutes | None = None,
    ) -> None:
        self._regions_by_data_centre = regions_by_data_centre
        self._routes = routes

    def allowed(self, request: CallerRequest) -> frozenset[RegionName] | None:
        """Return the regions for a request, ``None`` if all are allowed."""
        route = request.route
        table = self._routes.table if self._routes else None
        if table is None:
            return route.allowed_regions
        current = table.find(route.host, request.target.decode('latin-1'))
        if current is None or current is route:
            return route.allowed_regions
        return common_regions(route.allowed_regions, current.allowed_regions)

    def contain(
        self, regions: frozenset[RegionName] | None, server: BackendServer
    ) -> bool:
        """Return whether a server is in one of some regions."""
        if regions is None:
            return True
        return self._regions_by_data_centre.get(server.data_centre) in regions
