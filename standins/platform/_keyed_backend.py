"""Backend server that runs requests for the keys that it was granted."""

from collections import Counter

import msgspec
import trio

from carobwalk.http import H11Stream
from standins.platform._backend import OrderAnswer, PlatformBackend, Seen
from standins.platform._key_holder import SLOW_CLOCK, KeyHolder

_SEEN_HIGHER = OrderAnswer(409)
_POLL_SECONDS = 0.005


class _Order(msgspec.Struct, rename={'first': 'from', 'last': 'to'}):
    first: int
    last: int
    fence: int
    hold_s: float = 0


class KeyedBackend(PlatformBackend):
    """Runs a request only while it holds the request's key.

    Args:
        name: Identity.
        seconds: Time that a request takes.
        watched: Keys whose fences are remembered.
    """

    def __init__(
        self,
        name: str,
        seconds: float = 0,
        watched: tuple[int, ...] = (),
    ) -> None:
        super().__init__(name, seconds)
        self.holder = KeyHolder()
        self._watched = watched
        self._running_by_key: Counter[int] = Counter()
        self._orders_by_target.update(
            {b'/grant': self._grant, b'/release': self._release},
        )

    def runs(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the server holds the request's key."""
        return self.holder.holds(_key(headers), trio.current_time())

    async def _run(self, http: H11Stream, seen: Seen) -> bool:
        key = _key(dict(seen.headers))
        self._running_by_key[key] += 1
        try:
            return await super()._run(http, seen)
        finally:
            self._running_by_key[key] -= 1

    async def _grant(self, body: bytes) -> OrderAnswer:
        order = msgspec.json.decode(body, type=_Order)
        ends = trio.current_time() + order.hold_s / SLOW_CLOCK
        if self.holder.applies_late is not None:
            await trio.sleep(self.holder.applies_late)
        bounds = (order.first, order.last)
        if self.holder.grant(bounds, order.fence, ends, self._watched):
            return OrderAnswer()
        return _SEEN_HIGHER

    async def _release(self, body: bytes) -> OrderAnswer:
        order = msgspec.json.decode(body, type=_Order)
        self.holder.release(order.first, order.last)
        while self._is_working(order):
            await trio.sleep(_POLL_SECONDS)
        state = f'state of {self.name}'.encode()
        return OrderAnswer(headers=((b'handover', state),))

    def _is_working(self, order: _Order) -> bool:
        return any(
            count and order.first <= key <= order.last
            for key, count in self._running_by_key.items()
        )


def _key(headers: dict[bytes, bytes]) -> int:
    return int(headers.get(b'shard-key', b'-1'))
