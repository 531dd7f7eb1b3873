"""Renewal of the grants of backend servers."""

import trio
from result import Ok

from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._order_desk import OrderDesk, OrderParts
from carobwalk.keyspace._owned_map import OwnedMap
from carobwalk.keyspace._term import Term


class Renewals:
    """Renews the grants of each life that owns keys.

    Args:
        owned: The map with its grants.
        desk: Sends orders.
        parts: What orders need.
        term: Time during which orders may be sent.
    """

    def __init__(
        self,
        owned: OwnedMap,
        desk: OrderDesk,
        parts: OrderParts,
        term: Term,
    ) -> None:
        self._term = term
        self._hurry = trio.Event()
        self._owned = owned
        self._desk = desk
        self._parts = parts
        self._lives: set[ServerLife] = set()

    def start(self, nursery: trio.Nursery) -> None:
        """Start to renew for the lives that have become owners."""
        owners = {part.owner for part in self._owned.written}
        for life in owners - self._lives:
            self._lives.add(life)
            nursery.start_soon(self._renew, life)

    async def watch_doubt(self) -> None:
        """Renew all grants at once when the term comes into doubt.

        The longest grants must be sent before the lease lapses.
        """
        was_in_doubt = False
        while True:
            await trio.sleep(self._parts.times.tick)
            is_in_doubt = self._term.is_in_doubt
            if is_in_doubt and not was_in_doubt:
                self._hurry.set()
                self._hurry = trio.Event()
            was_in_doubt = is_in_doubt

    async def _renew(self, life: ServerLife) -> None:
        times = self._parts.times
        while any(part.owner == life for part in self._owned.written):
            was_in_doubt = self._term.is_in_doubt
            is_answered = True
            if self._parts.watch.is_usable(life):
                is_answered = await self._renew_once(life)
            if self._term.is_in_doubt and not was_in_doubt:
                # The grants just sent are short; none may follow them.
                continue
            pause = times.renewal if is_answered else times.retry
            with trio.move_on_after(pause):
                await self._hurry.wait()
        self._lives.discard(life)

    async def _renew_once(self, life: ServerLife) -> bool:
        """Renew all grants of a life; return whether all were answered."""
        is_answered = True
        for part in self._owned.held(life):
            renewed = await self._renew_range(part)
            is_answered = is_answered and renewed
        return is_answered

    async def _renew_range(self, part: KeyRange) -> bool:
        renewed = await self._desk.grant(
            part,
            '',
            lambda: part in self._owned.held(part.owner),
        )
        return isinstance(renewed, Ok)
