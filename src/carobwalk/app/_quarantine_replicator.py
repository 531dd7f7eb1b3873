"""Replication of the quarantine to all entries."""

import random
from collections.abc import Callable
from typing import Final

import trio

from carobwalk.app._core import Core
from carobwalk.dispatch import Quarantine
from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer import Topic

_TOPIC: Final = Topic('dispatch.quarantine')
_BROADCAST_TIMEOUT_SECONDS: Final = 0.5
_EXCHANGE_TIMEOUT_SECONDS: Final = 1.0
_MIN_EXCHANGE_PAUSE_SECONDS: Final = 5.0
_MAX_EXCHANGE_PAUSE_SECONDS: Final = 15.0
_MAX_CONCURRENT_SENDS: Final = 64


class QuarantineReplicator:
    """Replicates the quarantine to the other entries.

    A change, such as after the loss of a backend server, is broadcast to all
    entries at once. A periodic exchange with a random entry (anti-entropy)
    updates entries that missed a broadcast or were started later.

    Args:
        core: Shared components of the process.
        known_peers: Returns the endpoints of all processes known now.
        quarantine: Returns the quarantine of this process.
    """

    def __init__(
        self,
        core: Core,
        known_peers: Callable[[], tuple[Endpoint, ...]],
        quarantine: Callable[[], Quarantine],
    ) -> None:
        self._core = core
        self._known_peers = known_peers
        self._quarantine = quarantine
        self._random = random.Random()
        core.topics.register(_TOPIC, self._handle_snapshot)

    async def broadcast(self, snapshot: bytes) -> None:
        """Send a snapshot to all other entries.

        Returns when each entry answered, or after the timeout.

        Args:
            snapshot: Encoded content of the quarantine.
        """
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_SENDS)
        with trio.move_on_after(_BROADCAST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._other_peers():
                    nursery.start_soon(
                        self._send_snapshot,
                        peer,
                        snapshot,
                        limiter,
                    )

    async def run(self) -> None:
        """Periodically exchange snapshots with a random entry."""
        while True:
            await self._exchange_with_random_peer()
            pause = self._random.uniform(
                _MIN_EXCHANGE_PAUSE_SECONDS,
                _MAX_EXCHANGE_PAUSE_SECONDS,
            )
            await trio.sleep(pause)

    async def _exchange_with_random_peer(self) -> None:
        others = self._other_peers()
        if not others:
            return
        answer = await self._core.hub.ask(
            self._random.choice(others),
            _TOPIC,
            self._quarantine().snapshot(),
            _EXCHANGE_TIMEOUT_SECONDS,
        )
        answer.map(self._quarantine().merge)

    async def _send_snapshot(
        self,
        peer: Endpoint,
        snapshot: bytes,
        limiter: trio.CapacityLimiter,
    ) -> None:
        async with limiter:
            await self._core.hub.ask(
                peer,
                _TOPIC,
                snapshot,
                _BROADCAST_TIMEOUT_SECONDS,
            )

    async def _handle_snapshot(
        self,
        sender: ProcessId,
        payload: bytes,
    ) -> bytes:
        quarantine = self._quarantine()
        quarantine.merge(payload)
        return quarantine.snapshot()

    def _other_peers(self) -> tuple[Endpoint, ...]:
        own = self._core.own.name
        return tuple(peer for peer in self._known_peers() if peer.name != own)
