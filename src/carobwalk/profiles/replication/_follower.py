"""Follower that keeps a process at the accepted configuration."""

import trio
from result import Err

from carobwalk.model import Endpoint, ProcessId
from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles.replication._fleet_status import (
    FleetStatus,
    ProcessStatus,
)
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._initial_sync import InitialSync
from carobwalk.profiles.replication._local_configuration import (
    LocalConfiguration,
)
from carobwalk.profiles.replication._neighbour_sync import NeighbourSync
from carobwalk.profiles.replication._peer_exchange import PeerExchange
from carobwalk.profiles.replication._store_watch import StoreWatch

_MAX_CONCURRENT_QUERIES = 64


class ConfigurationFollower:
    """Keeps this process at the latest accepted configuration.

    A new revision arrives from a local write, from the store (watched by a
    few processes only) or from a peer, and is forwarded to the neighbours.

    Args:
        parts: Dependencies and settings.
    """

    def __init__(self, parts: FollowerParts) -> None:
        self._parts = parts
        self._local = LocalConfiguration()
        self._exchange = PeerExchange(parts, self._local)
        self._watch = StoreWatch(parts, self._local, self._exchange)
        self._neighbour_sync = NeighbourSync(parts, self._local, self._exchange)
        self._initial_sync = InitialSync(
            parts,
            self._local,
            self._exchange,
            self._watch,
        )

    async def run(self) -> None:
        """Fetch the initial configuration, then follow it until cancelled."""
        await self._initial_sync.run()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch.watch)
            nursery.start_soon(self._watch.sweep)
            nursery.start_soon(self._neighbour_sync.run)

    @property
    def has_joined(self) -> bool:
        """Whether the initial configuration has been fetched."""
        return self._local.joined

    def current(self) -> Catalogue:
        """Return the active catalogue; its revision never decreases."""
        return self._local.catalogue

    def configuration(self) -> Configuration:
        """Return the active configuration as operators entered it."""
        if self._local.joined:
            return self._local.configuration
        return Configuration()

    def known_revision(self) -> int:
        """Return the highest revision whose content this process received.

        It is a lower bound for the revision that the store must hold.
        Revisions that peers merely announced are not counted, as they can't
        be verified.
        """
        return self._local.configuration.revision

    async def wait_above(self, revision: int) -> None:
        """Wait until this process has activated a higher revision."""
        await self._local.wait_above(revision)

    def adopt(self, configuration: Configuration) -> None:
        """Apply a configuration that this process has just written.

        Args:
            configuration: Configuration that the store has accepted.
        """
        self._exchange.apply(configuration, 'writer')

    async def collect_status(self) -> FleetStatus:
        """Query every known process for its active revision."""
        statuses: list[ProcessStatus] = [
            ProcessStatus(
                ProcessId(self._parts.own.name),
                self._parts.own.data_centre,
                self._local.revision,
            ),
        ]
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_QUERIES)
        async with trio.open_nursery() as nursery:
            for peer in self._parts.other_peers():
                nursery.start_soon(self._query_status, peer, limiter, statuses)
        statuses.sort(key=lambda status: status.process)
        return FleetStatus(self._local.highest_known_revision, tuple(statuses))

    async def _query_status(
        self,
        peer: Endpoint,
        limiter: trio.CapacityLimiter,
        statuses: list[ProcessStatus],
    ) -> None:
        async with limiter:
            answered = await self._exchange.request_state(
                peer, wants_content=False
            )
        process = ProcessId(peer.name)
        if isinstance(answered, Err):
            status = ProcessStatus(
                process,
                peer.data_centre,
                None,
                answered.err_value.detail,
            )
        else:
            status = ProcessStatus(
                process,
                peer.data_centre,
                answered.ok_value,
            )
        statuses.append(status)
