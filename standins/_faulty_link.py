"""Fault-injecting channel between one client and the store."""

from collections.abc import Callable
from typing import TypeVar

import trio
from result import Err, Result

from carobwalk.store import StoreFailure, Unanswered, Unavailable
from standins._store_faults import StoreFaults

_Answer = TypeVar('_Answer')


class FaultyLink:
    """Passes calls to the state and applies the injected faults.

    Args:
        wake: Wakes the pending watches of all clients.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self.faults = StoreFaults()
        self._wake = wake
        self._replies_to_lose = 0
        self._held_writes: list[Callable[[], object]] = []

    def inject(self, faults: StoreFaults) -> None:
        """Replace the injected faults; ``StoreFaults()`` clears them."""
        self.faults = faults
        self._replies_to_lose = faults.lost_replies
        self._wake()

    def release_held(self) -> None:
        """Apply the held writes in the order of their calls."""
        held = tuple(self._held_writes)
        self._held_writes.clear()
        for operation in held:
            operation()
        self._wake()

    async def write(
        self,
        operation: Callable[[], Result[_Answer, StoreFailure]],
    ) -> Result[_Answer, StoreFailure]:
        """Make a call that writes; it may be held or lose its reply."""
        if self.faults.holds_writes and not self.faults.down:
            self._held_writes.append(operation)
            await trio.sleep(self.faults.timeout)
            return Err(Unanswered('no reply before the timeout'))
        answer = await self.exchange(operation)
        if self._replies_to_lose and answer.is_ok():
            self._replies_to_lose -= 1
            return Err(Unanswered('the reply was lost'))
        return answer

    async def exchange(
        self,
        operation: Callable[[], Result[_Answer, StoreFailure]],
    ) -> Result[_Answer, StoreFailure]:
        """Make a call and wait for its reply within the timeout."""
        await trio.lowlevel.checkpoint()
        faults = self.faults
        if faults.down:
            return Err(Unavailable('the store is down'))
        with trio.move_on_after(faults.timeout):
            await trio.sleep(faults.delay / 2)
            if self.faults.down:
                return Err(Unanswered('the store went down during the call'))
            answer = operation()
            self._wake()
            await trio.sleep(faults.delay / 2)
            return answer
        return Err(Unanswered('no reply before the timeout'))
