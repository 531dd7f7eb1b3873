"""Baseline: every entry sends straight, first in first out, blind retries."""

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

_RETRIES = 3


def _always() -> Result[SendTokens, NoLease]:
    return Ok(SendTokens(FenceToken(1, 1), FenceToken(1, 1)))


class NaiveForwarder:
    """Sends each request at once, and up to three times more on failure."""

    def __init__(self, servers: Callable[[Placement], FakeServer]) -> None:
        self._servers = servers
        self.sends = 0

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Run a request, waiting a part of its time for each send."""
        pause = call.head.deadline / (_RETRIES + 1)
        for _ in range(_RETRIES + 1):
            with trio.move_on_after(pause):
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
        gate = SendGate(_always, idempotent=True, name=call.head.request_id)
        request = UpstreamRequest(
            head=call.head,
            body=call.body,
            shard=placement.shard,
            gate=gate,
            expires_at=trio.current_time() + call.head.deadline,
        )
        server = self._servers(placement)
        return await FakeUpstream(server).exchange(request, sink)
