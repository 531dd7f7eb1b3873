"""Leases of this process as a dispatcher."""

from result import Err, Ok, Result

from carobwalk.model import FenceToken, Key, ServerId, ServiceName
from carobwalk.ownership._leases import NoLease
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._shard_maps import ShardMaps


class MapLeases:
    """Authorises sends by the live leases and the shard maps.

    Args:
        maps: Shard maps and leases.
        placements: Reader of the shard maps.
    """

    def __init__(self, maps: ShardMaps, placements: MapPlacements) -> None:
        self._maps = maps
        self._placements = placements

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the fence token to send with, read at the moment of sending.

        Args:
            server: Backend server to send to.
            service: Service of the request.
            key: Key of the request; ``None`` for unkeyed work.
        """
        lease = self._maps.lease_of(server)
        if lease is None:
            return Err(NoLease(f'no live lease on {server}'))
        if key is None:
            return Ok(lease)
        located = self._placements.locate(service, key)
        if isinstance(located, Err):
            return Err(NoLease(located.err_value.detail))
        placement = located.ok_value
        if placement.server.name != server or placement.token is None:
            return Err(NoLease(f'{server} does not own the key'))
        return Ok(placement.token)
