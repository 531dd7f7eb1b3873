"""Connections to peers, dialled on demand."""

from collections import defaultdict
from typing import Final

import trio

from carobwalk.http import connect_with_keepalive
from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer._dialled import DialledConnection
from carobwalk.peer._link import Link
from carobwalk.peer._stamp_source import StampSource
from carobwalk.peer._traffic import Traffic

_DIAL_SECONDS: Final = 1.0


class PeerDialler:
    """Keeps one connection to each peer that was asked for.

    Args:
        own_id: Identity of this process.
        clock: Logical clock of this process.
        traffic: Counter of the bytes of all links.
    """

    def __init__(
        self,
        own_id: ProcessId,
        clock: StampSource,
        traffic: Traffic,
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._traffic = traffic
        self._dialled_by_peer: dict[Endpoint, DialledConnection] = {}
        self._locks_by_peer: dict[Endpoint, trio.Lock] = defaultdict(trio.Lock)
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Let connections run in a nursery; none is dialled before."""
        self._nursery = nursery

    async def connect(self, peer: Endpoint) -> DialledConnection | None:
        """Return an open connection, ``None`` if the peer refuses."""
        dialled = self._dialled_by_peer.get(peer)
        if dialled is not None and dialled.is_open:
            return dialled
        async with self._locks_by_peer[peer]:
            dialled = self._dialled_by_peer.get(peer)
            if dialled is not None and dialled.is_open:
                return dialled
            return await self._dial(peer)

    async def _dial(self, peer: Endpoint) -> DialledConnection | None:
        if self._nursery is None:
            return None
        try:
            with trio.fail_after(_DIAL_SECONDS):
                stream = await connect_with_keepalive(peer.address)
        except (OSError, trio.TooSlowError):
            return None
        link = Link(stream, self._clock)
        dialled = DialledConnection(link, self._own_id)
        self._dialled_by_peer[peer] = dialled
        self._nursery.start_soon(self._run_dialled, link, dialled)
        return dialled

    async def _run_dialled(
        self,
        link: Link,
        dialled: DialledConnection,
    ) -> None:
        with self._traffic.track(link):
            await dialled.run()
