"""Synchronisation with the neighbours on the ring of processes."""

import trio
from result import Err

from carobwalk.model import Endpoint
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._local_configuration import (
    LocalConfiguration,
)
from carobwalk.profiles.replication._neighbours import choose_neighbours
from carobwalk.profiles.replication._peer_exchange import PeerExchange


class NeighbourSync:
    """Keeps this process and its neighbours at the same revision.

    Args:
        parts: Dependencies and settings.
        local: Local copy of the configuration.
        peer_exchange: Exchange of configurations with peers.
    """

    def __init__(
        self,
        parts: FollowerParts,
        local: LocalConfiguration,
        peer_exchange: PeerExchange,
    ) -> None:
        self._parts = parts
        self._local = local
        self._exchange = peer_exchange
        self._scopes_by_peer: dict[Endpoint, trio.CancelScope] = {}

    async def run(self) -> None:
        """Run one synchronisation task per neighbour until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh_tasks(nursery)
                await self._parts.pause()

    def _refresh_tasks(self, nursery: trio.Nursery) -> None:
        parts = self._parts
        chosen = set(choose_neighbours(parts.own, parts.known_peers()))
        removed = [peer for peer in self._scopes_by_peer if peer not in chosen]
        for peer in removed:
            self._scopes_by_peer.pop(peer).cancel()
        for peer in sorted(
            chosen - self._scopes_by_peer.keys(),
            key=lambda endpoint: endpoint.name,
        ):
            scope = trio.CancelScope()
            self._scopes_by_peer[peer] = scope
            nursery.start_soon(self._sync_with, peer, scope)

    async def _sync_with(self, peer: Endpoint, scope: trio.CancelScope) -> None:
        parts = self._parts
        with scope:
            while True:
                synchronised = await self._exchange.synchronise(peer)
                if isinstance(synchronised, Err):
                    await parts.pause()
                    continue
                pause = parts.jitter(parts.settings.exchange_seconds)
                with trio.move_on_after(pause):
                    await self._wait_until_ahead(peer)

    async def _wait_until_ahead(self, peer: Endpoint) -> None:
        """Wait until this process has a newer revision than the peer."""
        while True:
            await self._local.wait_above(self._exchange.known_revision(peer))
            # The peer may announce the same revision at the same moment, in
            # which case sending it would be redundant.
            await trio.lowlevel.checkpoint()
            if self._local.revision > self._exchange.known_revision(peer):
                return
