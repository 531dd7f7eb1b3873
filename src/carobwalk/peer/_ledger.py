"""Record of requests, for settling those whose connection was lost."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

import trio

from carobwalk.model import CallProgress, RequestId

_REMEMBERED: Final = 65_536


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request of another entry that runs in this process.

    Args:
        progress: Tells whether a byte may have reached a backend server.
        scope: Cancels the request.
        ended: Set when the request no longer runs.
    """

    progress: CallProgress
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)


class RequestLedger:
    """Knows which requests of other entries reached this process.

    An entry that lost its connection asks what became of a request. The
    answer also forbids the request, so that a head which is still on its way
    is not run after the caller was told ``not-run``.

    Args:
        remembered: Ended requests kept.
    """

    def __init__(self, remembered: int = _REMEMBERED) -> None:
        self._remembered = remembered
        self._running_by_id: dict[RequestId, RunningRequest] = {}
        self._ended_by_id: OrderedDict[RequestId, bool] = OrderedDict()

    def admit(self, request_id: RequestId, running: RunningRequest) -> bool:
        """Note a request that arrived; ``False`` if it was forbidden."""
        if request_id in self._ended_by_id:
            return False
        if request_id in self._running_by_id:
            return False
        self._running_by_id[request_id] = running
        return True

    def end(self, request_id: RequestId) -> None:
        """Note that a request no longer runs here."""
        running = self._running_by_id.pop(request_id)
        self._remember(request_id, is_sent=running.progress.is_sent)
        running.ended.set()

    async def settle(self, request_id: RequestId) -> bool:
        """Return whether a request may have run, and forbid it from now on.

        A request that still runs is cancelled first: nobody waits for it.
        """
        running = self._running_by_id.get(request_id)
        if running is not None:
            running.scope.cancel()
            await running.ended.wait()
        is_sent = self._ended_by_id.get(request_id, False)
        self._remember(request_id, is_sent=is_sent)
        return is_sent

    def _remember(self, request_id: RequestId, *, is_sent: bool) -> None:
        self._ended_by_id[request_id] = is_sent
        self._ended_by_id.move_to_end(request_id)
        while len(self._ended_by_id) > self._remembered:
            self._ended_by_id.popitem(last=False)
