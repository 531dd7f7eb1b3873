"""Initial synchronisation of a starting process."""

import trio

from carobwalk.model import Endpoint
from carobwalk.profiles.replication._events import ConfigurationInForce
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._local_configuration import (
    LocalConfiguration,
)
from carobwalk.profiles.replication._peer_exchange import PeerExchange
from carobwalk.profiles.replication._store_watch import StoreWatch


class InitialSync:
    """Fetches a revision that is not older than before a restart.

    The store always holds at least that revision. While the store is down,
    peers report the highest revision that they know of, which includes what
    this process announced before its restart.

    Args:
        parts: Dependencies and settings.
        local: Local copy of the configuration.
        peer_exchange: Exchange of configurations with peers.
        store_watch: Reads the store.
    """

    def __init__(
        self,
        parts: FollowerParts,
        local: LocalConfiguration,
        peer_exchange: PeerExchange,
        store_watch: StoreWatch,
    ) -> None:
        self._parts = parts
        self._local = local
        self._exchange = peer_exchange
        self._watch = store_watch
        self._store_answered = False
        self._answered_peers: set[str] = set()

    async def run(self) -> None:
        """Return once a configuration is active or the store has none."""
        with trio.move_on_after(self._parts.settings.join_seconds):
            await self._poll_until_settled(deadline_passed=False)
        await self._poll_until_settled(deadline_passed=True)
        self._local.join()
        revision = self._local.revision
        self._parts.events.emit(ConfigurationInForce(revision, 'start'))

    async def _poll_until_settled(self, *, deadline_passed: bool) -> None:
        """Poll the store and peers until their answers suffice."""
        while not self._is_settled(deadline_passed=deadline_passed):
            await self._poll_sources()
            if not self._is_settled(deadline_passed=deadline_passed):
                await self._parts.pause()

    def _is_settled(self, *, deadline_passed: bool) -> bool:
        if self._store_answered:
            return True
        revision = self._local.configuration.revision
        if revision == 0 or deadline_passed:
            return revision > 0
        # A single peer may be partitioned from the others and lag behind.
        sample_size = self._sample_size()
        has_enough_answers = 2 * len(self._answered_peers) >= sample_size
        return (
            has_enough_answers
            and revision >= self._local.highest_known_revision
        )

    def _sample_size(self) -> int:
        peers = len(self._parts.other_peers())
        return min(peers, self._parts.settings.join_sample)

    async def _poll_sources(self) -> None:
        peers = list(self._parts.other_peers())
        sample = self._parts.generator.sample(peers, self._sample_size())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_store)
            for peer in sample:
                nursery.start_soon(self._ask_peer, peer)

    async def _read_store(self) -> None:
        self._store_answered = await self._watch.read()

    async def _ask_peer(self, peer: Endpoint) -> None:
        response = await self._exchange.request_state(peer, wants_content=True)
        if response.is_ok():
            self._answered_peers.add(peer.name)
