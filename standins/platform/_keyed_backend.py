"""Backend server that runs requests only for keys granted to it."""

from collections import Counter

import msgspec
import trio

from carobwalk.http import H11Stream
from standins.platform._backend import (
    OrderResponse,
    PlatformBackend,
    ReceivedRequest,
)
from standins.platform._key_holder import SLOW_CLOCK_RATE, KeyHolder

_POLL_SECONDS = 0.005


class Order(msgspec.Struct, rename={'first': 'from', 'last': 'to'}):
    """Grant or release of a range of keys, as sent.

    Args:
        first: First key.
        last: Last key.
        fence: Fence of the range.
        hold_s: Duration of a grant in seconds.
    """

    first: int
    last: int
    fence: int
    hold_s: float = 0


class KeyedBackend(PlatformBackend):
    """Runs a request only while it holds the request's key.

    Args:
        name: Identity, as in the ``target-instance`` header field.
        seconds: Service time of a request.
        tracked_keys: Keys whose highest fence is kept.

    ``repeats_order_answers`` tells whether answers to orders are repeated as
    late answers.
    """

    def __init__(
        self,
        name: str,
        seconds: float = 0,
        tracked_keys: tuple[int, ...] = (),
    ) -> None:
        super().__init__(name, seconds)
        self.holder = KeyHolder()
        self.repeats_order_answers = False
        self._tracked_keys = tracked_keys
        self._running_by_key: Counter[int] = Counter()
        self._handlers_by_target.update(
            {b'/grant': self._grant, b'/release': self._release},
        )

    def accepts(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the server holds the request's key."""
        return self.holder.holds(_key(headers), trio.current_time())

    async def _run(self, http: H11Stream, request: ReceivedRequest) -> bool:
        key = _key(dict(request.headers))
        self._running_by_key[key] += 1
        try:
            return await super()._run(http, request)
        finally:
            self._running_by_key[key] -= 1

    async def _grant(self, body: bytes) -> OrderResponse:
        order = msgspec.json.decode(body, type=Order)
        expires_at = trio.current_time() + order.hold_s / SLOW_CLOCK_RATE
        if self.holder.apply_delay is not None:
            await trio.sleep(self.holder.apply_delay)
        is_accepted = self._apply_grant(order, expires_at)
        if self.holder.repeat_delay is not None:
            await trio.sleep(self.holder.repeat_delay)
            is_accepted = self._apply_grant(order, expires_at)
        return self._answer_order(200 if is_accepted else 409)

    def _apply_grant(self, order: Order, expires_at: float) -> bool:
        """Apply a grant; return whether it was accepted."""
        bounds = (order.first, order.last)
        return self.holder.grant(
            bounds, order.fence, expires_at, self._tracked_keys
        )

    def _apply_release(self, order: Order) -> None:
        """Give up the keys of a release."""
        self.holder.release(order.first, order.last)

    async def _release(self, body: bytes) -> OrderResponse:
        order = msgspec.json.decode(body, type=Order)
        self._apply_release(order)
        await trio.sleep(self.holder.release_delay)
        while self._has_running(order):
            await trio.sleep(_POLL_SECONDS)
        state = f'state of {self.name}'.encode()
        return self._answer_order(200, (b'handover', state))

    def _answer_order(
        self, status: int, *headers: tuple[bytes, bytes]
    ) -> OrderResponse:
        return OrderResponse(
            status,
            headers,
            has_id=False,
            is_repeated=self.repeats_order_answers,
        )

    def _has_running(self, order: Order) -> bool:
        return any(
            count and order.first <= key <= order.last
            for key, count in self._running_by_key.items()
        )


def _key(headers: dict[bytes, bytes]) -> int:
    return int(headers.get(b'shard-key', b'-1'))
