"""Baseline: entries send directly, in order of arrival, and retry blindly."""

from collections.abc import Callable

import trio
from result import Err, Ok, Result

from benchmarks._dispatch_server import FakeServer, FakeUpstream
from carobwalk.dispatch import (
    SendGate,
    SendTokens,
    UpstreamFailure,
    UpstreamRequest,
)
from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    FenceToken,
    Outcome,
    Placement,
    ReplySink,
)
from carobwalk.ownership import NoLease

_MAX_RETRIES = 3


def _authorise() -> Result[SendTokens, NoLease]:
    return Ok(SendTokens(FenceToken(1, 1), FenceToken(1, 1)))


class NaiveForwarder:
    """Sends each request without a queue and retries it up to three times.

    Args:
        find_server: Returns the server of a placement.
    """

    def __init__(self, find_server: Callable[[Placement], FakeServer]) -> None:
        self._find_server = find_server
        self.sends = 0

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward a request; each send gets an equal part of the deadline."""
        attempt_seconds = call.head.deadline / (_MAX_RETRIES + 1)
        for _ in range(_MAX_RETRIES + 1):
            with trio.move_on_after(attempt_seconds):
                sent = await self._send(call, placement, sink)
                if isinstance(sent, Ok):
                    return Ok(sent.ok_value)
        failure = Failure(FailureKind.DEADLINE, Outcome.NOT_RUN, 'gave up')
        return Err(failure)

    async def _send(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        self.sends += 1
        gate = SendGate(_authorise, idempotent=True, name=call.head.request_id)
        request = UpstreamRequest(
            head=call.head,
            body=call.body,
            shard=placement.shard,
            gate=gate,
            expires_at=trio.current_time() + call.head.deadline,
        )
        server = self._find_server(placement)
        return await FakeUpstream(server).exchange(request, sink)
