"""Lookup of placements in the shard maps."""

from result import Err, Ok, Result

from carobwalk.model import Endpoint, Key, Placement, ServerId, ServiceName
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._placements import NoPlacement
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.ownership._shard_row import ServerRow, ShardRow


class MapPlacements:
    """Finds owners, servers and dispatchers in the shard maps.

    Args:
        context: Dependencies and settings of this process.
        maps: Shard maps of all groups.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps

    def locate(
        self,
        service: ServiceName,
        key: Key,
    ) -> Result[Placement, NoPlacement]:
        """Return the owner of a key and its dispatcher."""
        row = self._shard_row(service, key)
        if row is None:
            return self._none(service, 'the shard map is not known yet')
        if row.owner is None:
            return self._none(service, f'shard {row.shard} has no owner')
        server = self._maps.row_of(row.owner)
        if server is None:
            return self._none(service, f'server {row.owner} is not known')
        dispatcher = self._dispatcher(server)
        if dispatcher is None:
            return self._none(service, f'{row.owner} has no dispatcher')
        return Ok(Placement(server.endpoint, dispatcher, row.shard, row.token))

    def granted_since(self, service: ServiceName, key: Key) -> float:
        """Return when the current grant of a key's shard was first received.

        Returns:
            Time on this process's clock; the current time if the shard is
            in no shard map.
        """
        row = self._shard_row(service, key)
        if row is None:
            return self._context.clock.now()
        division = self._maps.divisions[service]
        view = self._maps.by_group[division.group_of(row.shard)]
        return view.changed_at[row.shard_id]

    def candidates(
        self,
        service: ServiceName,
    ) -> Result[tuple[Placement, ...], NoPlacement]:
        """Return backend servers for unkeyed work, nearest first."""
        rows = [
            row
            for view in self._maps.by_group.values()
            for row in view.servers.values()
            if row.service == service and not row.leaving
        ]
        found = []
        for row in sorted(rows, key=self._distance):
            dispatcher = self._dispatcher(row)
            if dispatcher is not None:
                found.append(Placement(row.endpoint, dispatcher, None, None))
        if not found:
            return self._none(service, 'no server with a dispatcher is known')
        return Ok(tuple(found))

    def _shard_row(self, service: ServiceName, key: Key) -> ShardRow | None:
        division = self._maps.divisions.get(service)
        if division is None:
            return None
        shard = division.shard_of(key)
        view = self._maps.by_group.get(division.group_of(shard))
        return None if view is None else view.shards.get((service, shard))

    def _dispatcher(self, row: ServerRow) -> Endpoint | None:
        if row.dispatcher is None:
            return None
        for view in self._maps.by_group.values():
            if ServerId(row.endpoint.name) in view.servers:
                return view.dispatchers.get(row.dispatcher)
        return None

    def _distance(self, row: ServerRow) -> tuple[bool, bool, str]:
        own = self._context.own
        place = row.endpoint
        return (
            place.region != own.region,
            place.data_centre != own.data_centre,
            place.name,
        )

    def _none(
        self,
        service: ServiceName,
        detail: str,
    ) -> Err[NoPlacement]:
        retry_after = self._context.times.heartbeat
        return Err(NoPlacement(service, detail, retry_after))
