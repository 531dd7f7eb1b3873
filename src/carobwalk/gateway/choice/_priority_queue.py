"""Priority queue of requests that wait for capacity."""

from collections.abc import Callable
from typing import Final

import trio

from carobwalk.gateway.choice._fair_order import FairOrder
from carobwalk.gateway.choice._route_parts import RouteParts
from carobwalk.gateway.choice._waiter import Waiter

# Interval of the checks whether a request still waits at the right place.
_CHECK_SECONDS: Final = 0.2


class PriorityQueue:
    """Queue of waiting requests, fair among ranks, callers and routes.

    When capacity is freed, the next request is woken. It has to check for
    capacity itself and wait again if it can't use what was freed.
    """

    def __init__(self) -> None:
        self.parts = RouteParts()
        self._order = FairOrder(self.parts)
        self._woken_count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    @property
    def is_contended(self) -> bool:
        """Whether freed capacity belongs to a request that waits or waited."""
        return bool(self._woken_count or self._order)

    def ahead_of(self, rank: int, caller: str) -> int:
        """Return about how many requests are served before a new one."""
        return self._order.ahead_of(rank, caller)

    async def wait(
        self,
        waiter: Waiter,
        until: float,
        *,
        has_capacity: bool = False,
        is_valid: Callable[[], bool] | None = None,
    ) -> None:
        """Wait until capacity may be available, or for as long as useful.

        Args:
            waiter: The request.
            until: Time at which it leaves the queue.
            has_capacity: Whether there is capacity, for whichever request is
                next.
            is_valid: Returns whether it still waits at the right place; if
                not, it leaves the queue.
        """
        waiter.woken = trio.Event()
        self._order.push(waiter)
        if has_capacity and not self._woken_count:
            # A request that was woken before wakes the next one in its turn.
            self.wake()
        try:
            await self._wait(waiter, until, is_valid)
        except trio.Cancelled:
            if waiter.woken.is_set():
                self._woken_count -= 1
                self.wake()  # Pass on the capacity this request cannot use.
            else:
                self._order.remove(waiter)
            raise
        if waiter.woken.is_set():
            self._woken_count -= 1
        else:
            self._order.remove(waiter)

    def wake(self) -> None:
        """Wake the next request, if any waits."""
        waiter = self._order.pop(trio.current_time())
        if waiter is not None:
            self._woken_count += 1
            waiter.woken.set()

    async def _wait(
        self,
        waiter: Waiter,
        until: float,
        is_valid: Callable[[], bool] | None,
    ) -> None:
        while not waiter.woken.is_set():
            now = trio.current_time()
            with trio.move_on_at(min(until, now + _CHECK_SECONDS)):
                await waiter.woken.wait()
            if trio.current_time() >= until or (is_valid and not is_valid()):
                return
