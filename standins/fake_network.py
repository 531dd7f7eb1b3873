"""Network between processes and backend servers, with faults."""

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
    """Carries messages; those of a frozen party wait until it goes on.

    Args:
        nursery: Runs the messages under way.
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
        self._randoms: dict[tuple[str, str], random.Random] = {}
        self._thaws: dict[str, trio.Event] = {}

    def freeze(self, name: str) -> None:
        """Stop a party's messages in both directions."""
        self._thaws.setdefault(name, trio.Event())

    def thaw(self, name: str) -> None:
        """Let a party go on."""
        event = self._thaws.pop(name, None)
        if event is not None:
            event.set()

    def is_frozen(self, name: str) -> bool:
        """Return whether a party is frozen."""
        return name in self._thaws

    def is_cut_off(self, name: str, peers: Iterable[str]) -> bool:
        """Return whether a party reaches none of its peers."""
        return all((name, peer) in self.cuts for peer in peers)

    async def wait_awake(self, name: str) -> None:
        """Wait while a party is frozen."""
        while name in self._thaws:
            await self._thaws[name].wait()

    async def exchange(
        self,
        source: str,
        target: str,
        serve: Callable[[], Awaitable[_Reply]],
        timeout: float,
    ) -> _Reply | None:
        """Return the reply, ``None`` if none came in time.

        A message that is late still arrives after the timeout.
        """
        exchange = _Exchange[_Reply]()
        self._nursery.start_soon(self._carry, source, target, serve, exchange)
        with trio.move_on_after(timeout):
            await exchange.done.wait()
        await self.wait_awake(source)
        return exchange.reply

    async def _carry(
        self,
        source: str,
        target: str,
        serve: Callable[[], Awaitable[_Reply]],
        exchange: _Exchange[_Reply],
    ) -> None:
        if not await self._travel(source, target):
            return
        if target in self.down:
            return
        reply = await serve()
        if await self._travel(target, source):
            exchange.reply = reply
            exchange.done.set()

    async def _travel(self, source: str, target: str) -> bool:
        await self.wait_awake(source)
        draws = self._draws(source, target)
        lost = draws.random() < self.loss
        if lost or (source, target) in self.cuts:
            return False
        slow = draws.random() < self.slow_share
        delay = self.delays.get((source, target), self.delay)
        if slow:
            delay = self.slow_delay * draws.random()
        await trio.sleep(delay)
        await self.wait_awake(target)
        return True

    def _draws(self, source: str, target: str) -> random.Random:
        """Return the random numbers of one link, whatever other links do."""
        pair = (source, target)
        if pair not in self._randoms:
            self._randoms[pair] = random.Random(f'{self._seed}/{pair}')
        return self._randoms[pair]
