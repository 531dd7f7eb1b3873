"""Backend server that runs requests for the keys that it was granted."""

import msgspec
import trio

from standins.platform._backend import HeaderFields, PlatformBackend

_SLOW_CLOCK = 0.98


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
    """

    def __init__(self, name: str, seconds: float = 0) -> None:
        super().__init__(name, seconds)
        self._ends_by_key: dict[int, float] = {}
        self._orders_by_target.update(
            {b'/grant': self._grant, b'/release': self._release},
        )

    def runs(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the server holds the request's key."""
        key = int(headers.get(b'shard-key', b'-1'))
        return trio.current_time() < self._ends_by_key.get(key, 0)

    def _grant(self, body: bytes) -> HeaderFields:
        order = msgspec.json.decode(body, type=_Order)
        ends = trio.current_time() + order.hold_s / _SLOW_CLOCK
        for key in range(order.first, order.last + 1):
            self._ends_by_key[key] = ends
        return []

    def _release(self, body: bytes) -> HeaderFields:
        order = msgspec.json.decode(body, type=_Order)
        for key in range(order.first, order.last + 1):
            self._ends_by_key.pop(key, None)
        return [(b'handover', f'state of {self.name}'.encode())]
