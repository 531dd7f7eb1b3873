"""Backend servers that should own no keys because of where they are."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from carobwalk.directory import BackendServer, Evacuations, ServerIncarnation
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._move import MoveCause
from carobwalk.model import DataCentreName, RegionName, ServiceName
from carobwalk.routing import ActiveRoutes


@dataclass(frozen=True, slots=True)
class KeyLocations:
    """Finds the servers of a service that keys have to move away from.

    Args:
        evacuations: Evacuated data centres.
        regions_by_data_centre: Region of each data centre.
        routes: Routing configuration in force.
    """

    evacuations: Evacuations
    regions_by_data_centre: Mapping[DataCentreName, RegionName]
    routes: ActiveRoutes

    def misplaced(
        self,
        service: ServiceName,
        servers: Iterable[BackendServer],
        usable: Collection[ServerIncarnation],
    ) -> dict[ServerIncarnation, MoveCause]:
        """Return the servers that should own no keys, with the reason.

        A server outside the regions that all routes to the service allow is
        misplaced only if a usable one is inside.

        Args:
            service: Name of the service.
            servers: Its registered servers.
            usable: Those that could be given keys.
        """
        evacuated = {}
        outside = {}
        regions = self._common_regions(service)
        for server in servers:
            if self.evacuations.is_evacuated(server.data_centre):
                evacuated[server.incarnation] = MoveCause.EVACUATION
            elif not self._is_inside(server, regions):
                outside[server.incarnation] = MoveCause.OTHER_REGION
        excluded = evacuated | outside
        has_usable_inside = any(
            incarnation not in excluded for incarnation in usable
        )
        return excluded if has_usable_inside else evacuated

    def _common_regions(
        self, service: ServiceName
    ) -> frozenset[RegionName] | None:
        table = self.routes.table
        return table.configuration.common_regions(service) if table else None

    def _is_inside(
        self, server: BackendServer, regions: frozenset[RegionName] | None
    ) -> bool:
        if regions is None:
            return True
        return self.regions_by_data_centre.get(server.data_centre) in regions


def count_evacuated_keys(
    key_map: KeyMap,
    evacuated: frozenset[DataCentreName],
    data_centre_of: Callable[[ServerIncarnation], DataCentreName | None],
) -> Counter[DataCentreName]:
    """Return how many keys may still be held in evacuated data centres.

    Args:
        key_map: Owners of all keys.
        evacuated: Names of the evacuated data centres.
        data_centre_of: Returns the data centre of a server, ``None`` if it is
            unknown.
    """
    counts: Counter[DataCentreName] = Counter()
    if not evacuated:
        return counts
    for key_range in key_map:
        holders = (key_range.owner, *key_range.previous)
        for data_centre in set(map(data_centre_of, holders)):
            if data_centre in evacuated:
                counts[data_centre] += len(key_range)
    return counts
