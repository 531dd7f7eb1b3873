"""One task for each neighbour that changes are passed on to."""

import trio
from result import Err

from carobwalk.model import Endpoint
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._held_configuration import HeldConfiguration
from carobwalk.profiles.spread._neighbours import choose_neighbours
from carobwalk.profiles.spread._peer_exchange import PeerExchange


class NeighbourTasks:
    """Keeps the neighbours at the revision of this process, and back.

    Args:
        parts: Parts of the process.
        held: Configuration that the process holds.
        peer_exchange: Exchange with one peer.
    """

    def __init__(
        self,
        parts: FollowerParts,
        held: HeldConfiguration,
        peer_exchange: PeerExchange,
    ) -> None:
        self._parts = parts
        self._held = held
        self._exchange = peer_exchange
        self._scopes_by_peer: dict[Endpoint, trio.CancelScope] = {}

    async def run(self) -> None:
        """Run one task for each neighbour until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh(nursery)
                pause = self._parts.jitter(self._parts.settings.retry_seconds)
                await trio.sleep(pause)

    def _refresh(self, nursery: trio.Nursery) -> None:
        parts = self._parts
        chosen = set(choose_neighbours(parts.own, parts.known_peers()))
        gone = [peer for peer in self._scopes_by_peer if peer not in chosen]
        for peer in gone:
            self._scopes_by_peer.pop(peer).cancel()
        for peer in sorted(
            chosen - self._scopes_by_peer.keys(),
            key=lambda endpoint: endpoint.name,
        ):
            scope = trio.CancelScope()
            self._scopes_by_peer[peer] = scope
            nursery.start_soon(self._keep, peer, scope)

    async def _keep(self, peer: Endpoint, scope: trio.CancelScope) -> None:
        parts = self._parts
        with scope:
            while True:
                exchanged = await self._exchange.exchange(peer)
                if isinstance(exchanged, Err):
                    await trio.sleep(parts.jitter(parts.settings.retry_seconds))
                    continue
                pause = parts.jitter(parts.settings.exchange_seconds)
                with trio.move_on_after(pause):
                    await self._wait_for_news(peer)

    async def _wait_for_news(self, peer: Endpoint) -> None:
        """Wait until this process holds more than the peer is known to."""
        while True:
            await self._held.wait_above(self._exchange.known_revision(peer))
            # The peer's own message may tell of the same revision at the
            # same moment, which makes passing it on needless.
            await trio.lowlevel.checkpoint()
            if self._held.revision > self._exchange.known_revision(peer):
                return
