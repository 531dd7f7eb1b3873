"""The way of a range of keys to its new owner."""

from collections.abc import Callable
from typing import Final

import trio
from result import Ok

from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._order_desk import OrderDesk, OrderParts
from carobwalk.keyspace._orders import OrderFailure, OrderRefused
from carobwalk.model import Clock

_REFUSED_SECONDS: Final = 1.0


class Activation:
    """Frees a range of keys and grants it to its owner.

    Args:
        part: The range as it was assigned.
        desk: Sends orders.
        parts: What orders need.
        clock: Clock that runs on while the host is suspended.
        is_wanted: Returns whether the assignment still stands.
    """

    def __init__(
        self,
        part: KeyRange,
        desk: OrderDesk,
        parts: OrderParts,
        clock: Clock,
        is_wanted: Callable[[], bool],
    ) -> None:
        self.part = part
        self.is_refused = False
        self.handover = ''
        self._desk = desk
        self._parts = parts
        self._clock = clock
        self._is_wanted = is_wanted

    async def run(self) -> bool:
        """Return whether the owner took its grant."""
        async with trio.open_nursery() as nursery:
            for life in self.part.previous:
                nursery.start_soon(self._free, life)
        retry = self._parts.times.retry
        while self._is_wanted():
            answered = await self._desk.grant(
                self.part,
                self.handover,
                self._is_wanted,
            )
            if isinstance(answered, Ok):
                return True
            if isinstance(answered.err_value, OrderRefused):
                self.is_refused = True
                return False
            await trio.sleep(retry)
        return False

    async def _free(self, life: ServerLife) -> None:
        """Return once a life certainly holds none of the keys."""
        while not self._is_over(life):
            released = await self._desk.release(self.part, life)
            if isinstance(released, Ok):
                self.handover = released.ok_value or self.handover
                await self._wait_until_free(life)
                return
            await trio.sleep(self._pause_after(released.err_value))

    def _pause_after(self, failure: OrderFailure) -> float:
        """Return the pause before the next release in seconds."""
        if isinstance(failure, OrderRefused):
            return _REFUSED_SECONDS  # Repeats are refused as well.
        return self._parts.times.retry

    async def _wait_until_free(self, life: ServerLife) -> None:
        """Wait until a release that was answered is certain."""
        ledger = self._desk.ledger
        keys = self.part.bounds
        moment = ledger.free_after_release(life, keys)
        while self._clock.now() < moment and not self._is_over(life):
            await trio.sleep(self._parts.times.tick)
            # A predecessor may have told exact bounds meanwhile.
            moment = min(moment, ledger.free_after_release(life, keys))

    def _is_over(self, life: ServerLife) -> bool:
        if self._parts.watch.is_dead(life):
            return True
        if self._parts.lives.is_replaced(life):
            return True
        end = self._desk.ledger.holds_until(life, self.part.bounds)
        return self._clock.now() >= end
