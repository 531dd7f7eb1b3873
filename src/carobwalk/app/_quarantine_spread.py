"""Spread of the quarantine over all entries."""

import random
from collections.abc import Callable
from typing import Final

import trio

from carobwalk.app._core import Core
from carobwalk.dispatch import Quarantine
from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer import Topic

_TOPIC: Final = Topic('dispatch.quarantine')
_TELL_SECONDS: Final = 0.5
_ASK_SECONDS: Final = 1.0
_SHORTEST_PAUSE: Final = 5.0  # seconds
_LONGEST_PAUSE: Final = 15.0  # seconds
_TELL_TASKS: Final = 64


class QuarantineSpread:
    """Tells other entries what is in quarantine, and learns from them.

    A loss of a server is told to all entries at once. A rare exchange with
    one of them reaches those that did not hear, or were started since.

    Args:
        core: Parts of the process.
        peers: Returns all processes known now.
        quarantine: Returns the quarantine of this process.
    """

    def __init__(
        self,
        core: Core,
        peers: Callable[[], tuple[Endpoint, ...]],
        quarantine: Callable[[], Quarantine],
    ) -> None:
        self._core = core
        self._peers = peers
        self._quarantine = quarantine
        self._random = random.Random()
        core.topics.register(_TOPIC, self._answer)

    async def tell(self, snapshot: bytes) -> None:
        """Tell all other entries; returns when each knows or took too long.

        Args:
            snapshot: Content of the quarantine.
        """
        limiter = trio.CapacityLimiter(_TELL_TASKS)
        with trio.move_on_after(_TELL_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._others():
                    nursery.start_soon(self._tell_one, peer, snapshot, limiter)

    async def run(self) -> None:
        """Exchange with a random entry now and then, until cancelled."""
        while True:
            await self._exchange()
            pause = self._random.uniform(_SHORTEST_PAUSE, _LONGEST_PAUSE)
            await trio.sleep(pause)

    async def _exchange(self) -> None:
        others = self._others()
        if not others:
            return
        answer = await self._core.hub.ask(
            self._random.choice(others),
            _TOPIC,
            self._quarantine().snapshot(),
            _ASK_SECONDS,
        )
        answer.map(self._quarantine().merge)

    async def _tell_one(
        self,
        peer: Endpoint,
        snapshot: bytes,
        limiter: trio.CapacityLimiter,
    ) -> None:
        async with limiter:
            await self._core.hub.ask(peer, _TOPIC, snapshot, _TELL_SECONDS)

    async def _answer(self, sender: ProcessId, payload: bytes) -> bytes:
        quarantine = self._quarantine()
        quarantine.merge(payload)
        return quarantine.snapshot()

    def _others(self) -> tuple[Endpoint, ...]:
        own = self._core.own.name
        return tuple(peer for peer in self._peers() if peer.name != own)
