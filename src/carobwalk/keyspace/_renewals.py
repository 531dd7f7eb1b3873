"""Renewal of the grants of backend servers."""

import trio
from result import Ok

from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._order_desk import OrderDesk, OrderParts
from carobwalk.keyspace._owned_map import OwnedMap


class Renewals:
    """Renews the grants of each life that owns keys.

    Args:
        owned: The map with its grants.
        desk: Sends orders.
        parts: What orders need.
    """

    def __init__(
        self,
        owned: OwnedMap,
        desk: OrderDesk,
        parts: OrderParts,
    ) -> None:
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

    async def _renew(self, life: ServerLife) -> None:
        times = self._parts.times
        while any(part.owner == life for part in self._owned.written):
            is_answered = True
            if self._parts.watch.is_usable(life):
                is_answered = await self._renew_once(life)
            await trio.sleep(times.renewal if is_answered else times.retry)
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
