"""Wait of a caller for an answer."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import trio

from soak._freeze_watch import FreezeWatch
from soak._processor_waits import ProcessorWaits

_MIN_SLEEP_SECONDS: Final = 0.02
_Reply = TypeVar('_Reply')


class AnswerWait:
    """Wait that begins now, without the time that the machine took.

    That is the longer of the freezes of this process and of the router's
    waits for a processor.

    Args:
        seconds: Its longest time.
        watch: Records the freezes.
        waits: Records the waits of the router.
    """

    def __init__(
        self, seconds: float, watch: FreezeWatch, waits: ProcessorWaits
    ) -> None:
        self.since = trio.current_time()
        self._seconds = seconds
        self._watch = watch
        self._waits = waits

    async def receive(
        self, exchange: Callable[[], Awaitable[_Reply]]
    ) -> _Reply | None:
        """Return a reply, ``None`` if there is none in time.

        Args:
            exchange: Sends a request and returns the reply.
        """
        reply = None
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_late, scope)
                reply = await exchange()
                nursery.cancel_scope.cancel()
        return None if await self._is_over() else reply

    async def _is_over(self) -> bool:
        """Return whether the time is over."""
        now = trio.current_time()
        if self._seconds_left(now) > 0:
            return False
        await self._watch.catch_up()
        await self._waits.catch_up()
        return self._seconds_left(now) <= 0

    async def _cancel_late(self, scope: trio.CancelScope) -> None:
        while not await self._is_over():
            left = self._seconds_left(trio.current_time())
            await trio.sleep(max(left, _MIN_SLEEP_SECONDS))
        scope.cancel()

    def _seconds_left(self, now: float) -> float:
        ran = self._watch.run_seconds(self.since, now)
        waited = self._waits.waited_seconds(self.since, now)
        return self._seconds - min(ran, now - self.since - waited)
