"""Record of forwarded requests, to resolve outcomes after lost connections."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

import trio

from carobwalk.model import CallProgress, RequestId

_MAX_ENDED_REQUESTS: Final = 65_536


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that another entry forwarded and that runs in this process.

    Args:
        progress: States whether a byte may have reached a backend server.
        scope: Cancels the request.
        ended: Set when the request no longer runs.
    """

    progress: CallProgress
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)


class RequestTracker:
    """Records which requests of other entries reached this process.

    An entry that lost its connection asks whether a request may have run.
    The answer also rejects the request from then on, so that a head still in
    transit does not run after ``not-run`` was reported to the caller.

    Args:
        max_ended: Number of ended requests that are kept; the oldest are
            dropped first.
    """

    def __init__(self, max_ended: int = _MAX_ENDED_REQUESTS) -> None:
        self._max_ended = max_ended
        self._running_by_id: dict[RequestId, RunningRequest] = {}
        self._sent_flags_by_id: OrderedDict[RequestId, bool] = OrderedDict()

    def admit(
        self, request_id: RequestId, running_request: RunningRequest
    ) -> bool:
        """Record a request that arrived; return ``False`` to reject it.

        Requests that run, ended or were resolved are rejected.
        """
        if request_id in self._sent_flags_by_id:
            return False
        if request_id in self._running_by_id:
            return False
        self._running_by_id[request_id] = running_request
        return True

    def end(self, request_id: RequestId) -> None:
        """Record that a request no longer runs in this process."""
        running_request = self._running_by_id.pop(request_id)
        self._record_ended(request_id, is_sent=running_request.progress.is_sent)
        running_request.ended.set()

    async def resolve_outcome(self, request_id: RequestId) -> bool:
        """Return whether a request may have run, and reject it from now on.

        A request that still runs is cancelled first, since no caller waits
        for it any more.
        """
        running_request = self._running_by_id.get(request_id)
        if running_request is not None:
            running_request.scope.cancel()
            await running_request.ended.wait()
        is_sent = self._sent_flags_by_id.get(request_id, False)
        self._record_ended(request_id, is_sent=is_sent)
        return is_sent

    def _record_ended(self, request_id: RequestId, *, is_sent: bool) -> None:
        self._sent_flags_by_id[request_id] = is_sent
        self._sent_flags_by_id.move_to_end(request_id)
        while len(self._sent_flags_by_id) > self._max_ended:
            self._sent_flags_by_id.popitem(last=False)
