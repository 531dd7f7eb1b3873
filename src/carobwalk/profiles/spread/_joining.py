"""Start of a process that holds no configuration yet."""

import trio

from carobwalk.model import Endpoint
from carobwalk.profiles.spread._events import ConfigurationInForce
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._held_configuration import HeldConfiguration
from carobwalk.profiles.spread._peer_exchange import PeerExchange
from carobwalk.profiles.spread._store_watch import StoreWatch


class Joining:
    """Finds a revision that is not below one the process had before.

    The store's answer is at least that. While it is down, peers tell the
    highest revision that they heard of, from this process too.

    Args:
        parts: Parts of the process.
        held: Configuration that the process holds.
        peer_exchange: Exchange with one peer.
        store_watch: Reader of the store.
    """

    def __init__(
        self,
        parts: FollowerParts,
        held: HeldConfiguration,
        peer_exchange: PeerExchange,
        store_watch: StoreWatch,
    ) -> None:
        self._parts = parts
        self._held = held
        self._exchange = peer_exchange
        self._watch = store_watch
        self._store_answered = False
        self._answered: set[str] = set()

    async def run(self) -> None:
        """Return once a configuration is in force or there is none."""
        with trio.move_on_after(self._parts.settings.join_seconds):
            await self._look(is_late=False)
        await self._look(is_late=True)
        self._held.join()
        revision = self._held.revision
        self._parts.events.emit(ConfigurationInForce(revision, 'start'))

    async def _look(self, *, is_late: bool) -> None:
        """Ask the store and peers until their answers are enough."""
        while not self._is_settled(is_late=is_late):
            await self._ask_all()
            if not self._is_settled(is_late=is_late):
                mean = self._parts.settings.retry_seconds
                await trio.sleep(self._parts.jitter(mean))

    def _is_settled(self, *, is_late: bool) -> bool:
        if self._store_answered:
            return True
        revision = self._held.configuration.revision
        if revision == 0 or is_late:
            return revision > 0
        # One peer alone may be cut off and behind.
        asked = self._sample_size()
        is_answered = 2 * len(self._answered) >= asked
        return is_answered and revision >= self._held.heard

    def _sample_size(self) -> int:
        peers = len(self._parts.other_peers())
        return min(peers, self._parts.settings.join_sample)

    async def _ask_all(self) -> None:
        peers = list(self._parts.other_peers())
        sample = self._parts.generator.sample(peers, self._sample_size())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_store)
            for peer in sample:
                nursery.start_soon(self._ask, peer)

    async def _read_store(self) -> None:
        self._store_answered = await self._watch.read()

    async def _ask(self, peer: Endpoint) -> None:
        answered = await self._exchange.ask(peer, wants_content=True)
        if answered.is_ok():
            self._answered.add(peer.name)
