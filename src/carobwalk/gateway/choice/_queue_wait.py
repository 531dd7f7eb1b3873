"""Wait of one request for capacity, and when it is refused instead."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._priority_queue import PriorityQueue
from carobwalk.gateway.choice._target import NoTarget
from carobwalk.gateway.choice._waiter import Accepts, Waiter, accept_any

# Part of the expected latency that a response takes at least. Servers differ
# by a factor of three, so half of the mean rules out few that could be in time.
_LEAST_LATENCY_PART: Final = 0.5
# Part of the time to the deadline that a request may wait. A caller that is
# refused then has time left to try another process.
_MAX_WAIT_PART: Final = 0.45


@dataclass(frozen=True, slots=True)
class WaitCauses:
    """Causes of refusals that callers are told.

    Args:
        full: No capacity was freed in time.
        too_long: The wait is known to be too long.
    """

    full: str
    too_long: str


class QueueWait:
    """Wait of a request in a queue.

    It ends when a response can no longer come before the deadline, or when
    the caller would have too little time left to try again. A late response
    still has some worth, so a missed target latency doesn't end it.

    Args:
        queue: The queue.
        request: The request.
        latency: Expected latency in seconds once a request is sent.
        causes: Causes of refusals.
        accepts: Returns whether the request may be sent to a server.
    """

    def __init__(
        self,
        queue: PriorityQueue,
        request: CallerRequest,
        latency: float,
        causes: WaitCauses,
        accepts: Accepts = accept_any,
    ) -> None:
        self._queue = queue
        self._latency = latency
        self._causes = causes
        self._waiter = Waiter.of(request, latency, accepts)
        self._has_waited = False
        now = trio.current_time()
        self.leaves_at = min(
            request.deadline - latency * _LEAST_LATENCY_PART,
            now + (request.deadline - now) * _MAX_WAIT_PART,
        )

    def may_start(self, server: BackendServer) -> bool:
        """Return whether the free capacity of a server is for this request."""
        if self._waiter.woken.is_set():
            return True
        return not self._queue.is_claimed(server)

    def refusal(self) -> NoTarget | None:
        """Return why the request can't wait for capacity, if it can't."""
        seconds_left = self.leaves_at - trio.current_time()
        if seconds_left <= 0:
            return NoTarget(self._causes.full, self._seconds_to_turn())
        if not self._has_waited and self._known_wait() > seconds_left:
            return NoTarget(self._causes.too_long, self._seconds_to_turn())
        return None

    async def wait(
        self,
        until: float = math.inf,
        *,
        free: BackendServer | None = None,
        is_valid: Callable[[], bool] | None = None,
    ) -> None:
        """Wait until there may be capacity or the wait has become useless.

        Args:
            until: Time at which the request checks for capacity anyway.
            free: Server that has capacity, for whichever request is next.
            is_valid: Returns whether it still waits at the right place.
        """
        self._has_waited = True
        await self._queue.wait(
            self._waiter,
            min(until, self.leaves_at),
            free=free,
            is_valid=is_valid,
        )

    def _known_wait(self) -> float:
        """Return the seconds until the requests ahead have been served."""
        waiter = self._waiter
        ahead = self._queue.ahead_of(waiter.rank, waiter.caller)
        return ahead * self._seconds_per_turn()

    def _seconds_to_turn(self) -> float:
        """Return the seconds until a request that came now would be next."""
        return self._known_wait() + self._seconds_per_turn()

    def _seconds_per_turn(self) -> float:
        return self._latency / max(self._queue.parts.capacity, 1)
