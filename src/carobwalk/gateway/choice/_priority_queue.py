"""Priority queue of requests that wait for capacity."""

from collections.abc import Callable
from typing import Final

import trio

from carobwalk.directory import BackendServer
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

    def is_claimed(self, server: BackendServer) -> bool:
        """Return whether capacity is for a request that waits or waited.

        Args:
            server: Server that has the capacity.
        """
        return bool(self._woken_count) or self._order.has_for(server)

    def ahead_of(self, rank: int, caller: str) -> int:
        """Return about how many requests are served before a new one."""
        return self._order.ahead_of(rank, caller)

    async def wait(
        self,
        waiter: Waiter,
        until: float,
        *,
        free: BackendServer | None = None,
        is_valid: Callable[[], bool] | None = None,
    ) -> None:
        """Wait until capacity may be available, or for as long as useful.

        Args:
            waiter: The request.
            until: Time at which it leaves the queue.
            free: Server that has capacity, for whichever request is next.
            is_valid: Returns whether it still waits at the right place; if
                not, it leaves the queue.
        """
        waiter.woken = trio.Event()
        self._order.push(waiter)
        if free is not None and not self._woken_count:
            # A request that was woken before wakes the next one in its turn.
            self.wake(free)
        try:
            await self._wait(waiter, until, is_valid)
        except trio.Cancelled:
            if waiter.woken.is_set():
                self._woken_count -= 1
                # Pass on the capacity this request cannot use.
                self.wake(waiter.woken_for)
            else:
                self._order.remove(waiter)
            raise
        if waiter.woken.is_set():
            self._woken_count -= 1
        else:
            self._order.remove(waiter)

    def wake(self, server: BackendServer | None = None) -> None:
        """Wake the next request that can use capacity, if any waits.

        Args:
            server: Server that has the capacity, ``None`` if all requests in
                the queue wait for the same one.
        """
        waiter = self._order.pop(trio.current_time(), server)
        if waiter is not None:
            self._woken_count += 1
            waiter.woken_for = server
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
