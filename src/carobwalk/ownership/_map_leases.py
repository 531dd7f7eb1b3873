"""Authorisation of sends by dispatch leases and shard maps."""

from typing import Final

from result import Err, Ok, Result

from carobwalk.model import FenceToken, Key, Placement, ServerId, ServiceName
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._delegated_grants import DelegatedGrants
from carobwalk.ownership._leases import NoLease
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._shard_maps import ShardMaps

_MICROSECONDS: Final = 1_000_000


class MapLeases:
    """Authorises sends by the live leases of this process and the shard maps.

    Args:
        context: Dependencies and settings of this process.
        maps: Shard maps and dispatch leases of this process.
        placements: Reader of the shard maps.
        delegated_grants: Grants held for servers that do not check grants.
    """

    def __init__(
        self,
        context: OwnershipContext,
        maps: ShardMaps,
        placements: MapPlacements,
        delegated_grants: DelegatedGrants,
    ) -> None:
        self._context = context
        self._delegated_grants = delegated_grants
        self._maps = maps
        self._placements = placements

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the fencing token for a request; call it right before sending.

        Args:
            server: Backend server to send to.
            service: Service of the request.
            key: Key of the request; ``None`` for unkeyed work.
        """
        lease = self._maps.lease_of(server)
        if lease is None:
            return Err(NoLease(f'no live lease on {server}'))
        if key is None:
            # A lease that was lost and regained must get another token.
            lease_start_us = int(lease.since * _MICROSECONDS)
            return Ok(FenceToken(lease.epoch, lease_start_us))
        located = self._placements.locate(service, key)
        if isinstance(located, Err):
            return Err(NoLease(located.err_value.detail))
        placement = located.ok_value
        if placement.server.name != server or placement.token is None:
            return Err(NoLease(f'{server} does not own the key'))
        return self._check_grant(server, service, placement)

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return the time since which only this process could send.

        Args:
            server: Backend server.
            service: Service of the request.
            key: Key of the request; ``None`` for unkeyed work.
        """
        lease = self._maps.lease_of(server)
        if lease is None:
            return self._maps.read_clock()
        if key is None:
            return lease.since
        granted = self._placements.granted_since(service, key)
        return max(lease.since, granted)

    def _check_grant(
        self,
        server: ServerId,
        service: ServiceName,
        placement: Placement,
    ) -> Result[FenceToken, NoLease]:
        token = placement.token
        shard = placement.shard
        if token is None or shard is None:
            return Err(NoLease(f'{server} has no grant'))
        if self._context.checks_grants(service):
            return Ok(token)
        if self._delegated_grants.admits(server, (service, shard), token):
            return Ok(token)
        return Err(NoLease(f'the grant of {server} is not live here'))
