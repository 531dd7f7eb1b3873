"""Wait of a caller for an answer."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from soak._freeze_watch import FreezeWatch

_Reply = TypeVar('_Reply')


class AnswerWait:
    """Wait that begins now, without the freezes of this process.

    Args:
        seconds: Its longest time.
        watch: Records the freezes.
    """

    def __init__(self, seconds: float, watch: FreezeWatch) -> None:
        self.since = trio.current_time()
        self._seconds = seconds
        self._watch = watch

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
        if now - self.since < self._seconds:
            return False
        await self._watch.catch_up()
        return self._watch.run_seconds(self.since, now) >= self._seconds

    async def _cancel_late(self, scope: trio.CancelScope) -> None:
        await self._watch.sleep_running(self._seconds)
        scope.cancel()
