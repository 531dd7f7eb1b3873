"""Connections to peers, opened on demand."""

from collections import defaultdict
from typing import Final

import trio

from carobwalk.http import connect_with_keepalive
from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer._link import Link
from carobwalk.peer._logical_clock import LogicalClock
from carobwalk.peer._outbound_connection import OutboundConnection
from carobwalk.peer._traffic_counter import TrafficCounter

_DIAL_TIMEOUT_SECONDS: Final = 1.0


class PeerDialler:
    """Opens and reuses one connection to each requested peer.

    Args:
        own_id: Identity of this process.
        clock: Logical clock of this process.
        traffic: Counts the bytes of all links.
    """

    def __init__(
        self,
        own_id: ProcessId,
        clock: LogicalClock,
        traffic: TrafficCounter,
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._traffic = traffic
        self._connections_by_peer: dict[Endpoint, OutboundConnection] = {}
        self._locks_by_peer: dict[Endpoint, trio.Lock] = defaultdict(trio.Lock)
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery that runs connections; none is opened before."""
        self._nursery = nursery

    async def connect(self, peer: Endpoint) -> OutboundConnection | None:
        """Return an open connection, ``None`` if the peer is unreachable.

        Concurrent callers share one attempt to connect.
        """
        connection = self._connections_by_peer.get(peer)
        if connection is not None and connection.is_open:
            return connection
        async with self._locks_by_peer[peer]:
            connection = self._connections_by_peer.get(peer)
            if connection is not None and connection.is_open:
                return connection
            return await self._dial(peer)

    async def _dial(self, peer: Endpoint) -> OutboundConnection | None:
        if self._nursery is None:
            return None
        try:
            with trio.fail_after(_DIAL_TIMEOUT_SECONDS):
                stream = await connect_with_keepalive(peer.address)
        except (OSError, trio.TooSlowError):
            return None
        link = Link(stream, self._clock)
        connection = OutboundConnection(link, self._own_id)
        self._connections_by_peer[peer] = connection
        self._nursery.start_soon(self._run_connection, link, connection)
        return connection

    async def _run_connection(
        self,
        link: Link,
        connection: OutboundConnection,
    ) -> None:
        with self._traffic.track(link):
            await connection.run()
