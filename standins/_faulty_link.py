"""Way of calls between one client and the store, with faults."""

from collections.abc import Callable
from typing import TypeVar

import trio
from result import Err, Result

from carobwalk.store import StoreFailure, Unanswered, Unavailable
from standins._store_faults import StoreFaults

_Answer = TypeVar('_Answer')


class FaultyLink:
    """Carries calls to the state under the faults in force.

    Args:
        wake: Wakes the waiting watches of all clients.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self.faults = StoreFaults()
        self._wake = wake
        self._lost_left = 0
        self._held: list[Callable[[], object]] = []

    def inject(self, faults: StoreFaults) -> None:
        """Put faults in force; ``StoreFaults()`` ends them."""
        self.faults = faults
        self._lost_left = faults.lost_replies
        self._wake()

    def release_held(self) -> None:
        """Let the held writes take effect, in their order."""
        held = tuple(self._held)
        self._held.clear()
        for operation in held:
            operation()
        self._wake()

    async def change(
        self,
        operation: Callable[[], Result[_Answer, StoreFailure]],
    ) -> Result[_Answer, StoreFailure]:
        """Carry a call that writes."""
        if self.faults.holds_writes and not self.faults.down:
            self._held.append(operation)
            await trio.sleep(self.faults.timeout)
            return Err(Unanswered('no reply before the timeout'))
        answer = await self.exchange(operation)
        if self._lost_left and answer.is_ok():
            self._lost_left -= 1
            return Err(Unanswered('the reply was lost'))
        return answer

    async def exchange(
        self,
        operation: Callable[[], Result[_Answer, StoreFailure]],
    ) -> Result[_Answer, StoreFailure]:
        """Carry a call there and back within the timeout."""
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
