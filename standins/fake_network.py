"""Simulated network between processes and backend servers."""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

_Reply = TypeVar('_Reply')


@dataclass(slots=True)
class _Exchange(Generic[_Reply]):
    """One message and its reply."""

    done: trio.Event = field(default_factory=trio.Event)
    reply: _Reply | None = None


class FakeNetwork:
    """Delivers messages with delay, loss, partitions and frozen participants.

    Messages from and to a frozen participant wait until it is thawed.

    Args:
        nursery: Nursery that runs the exchanges in flight.
        seed: Seed of delays and losses.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.delay = 0.001
        self.slow_share: float = 0
        self.slow_delay: float = 0
        self.loss: float = 0
        self.down: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.delays: dict[tuple[str, str], float] = {}
        self._nursery = nursery
        self._seed = seed
        self._rngs_by_link: dict[tuple[str, str], random.Random] = {}
        self._thaw_events: dict[str, trio.Event] = {}

    def freeze(self, name: str) -> None:
        """Hold back a participant's messages in both directions."""
        self._thaw_events.setdefault(name, trio.Event())

    def thaw(self, name: str) -> None:
        """Resume a participant."""
        event = self._thaw_events.pop(name, None)
        if event is not None:
            event.set()

    def is_frozen(self, name: str) -> bool:
        """Return whether a participant is frozen."""
        return name in self._thaw_events

    def is_cut_off(self, name: str, peers: Iterable[str]) -> bool:
        """Return whether a participant can reach none of its peers."""
        return all((name, peer) in self.cuts for peer in peers)

    async def wait_until_thawed(self, name: str) -> None:
        """Wait while a participant is frozen."""
        while name in self._thaw_events:
            await self._thaw_events[name].wait()

    async def exchange(
        self,
        source: str,
        target: str,
        serve: Callable[[], Awaitable[_Reply]],
        timeout: float,
    ) -> _Reply | None:
        """Return the reply, ``None`` if it did not arrive in time.

        A message that is still in transit is delivered after the timeout.
        """
        exchange = _Exchange[_Reply]()
        self._nursery.start_soon(
            self._run_exchange, source, target, serve, exchange
        )
        with trio.move_on_after(timeout):
            await exchange.done.wait()
        await self.wait_until_thawed(source)
        return exchange.reply

    async def _run_exchange(
        self,
        source: str,
        target: str,
        serve: Callable[[], Awaitable[_Reply]],
        exchange: _Exchange[_Reply],
    ) -> None:
        if not await self._deliver(source, target):
            return
        if target in self.down:
            return
        reply = await serve()
        if await self._deliver(target, source):
            exchange.reply = reply
            exchange.done.set()

    async def _deliver(self, source: str, target: str) -> bool:
        await self.wait_until_thawed(source)
        rng = self._rng_for(source, target)
        is_lost = rng.random() < self.loss
        if is_lost or (source, target) in self.cuts:
            return False
        is_slow = rng.random() < self.slow_share
        delay = self.delays.get((source, target), self.delay)
        if is_slow:
            delay = self.slow_delay * rng.random()
        await trio.sleep(delay)
        await self.wait_until_thawed(target)
        return True

    def _rng_for(self, source: str, target: str) -> random.Random:
        """Return the generator of one link, independent of other links."""
        link = (source, target)
        if link not in self._rngs_by_link:
            self._rngs_by_link[link] = random.Random(f'{self._seed}/{link}')
        return self._rngs_by_link[link]
