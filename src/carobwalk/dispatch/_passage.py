"""State of one request on its way through a dispatcher."""

import itertools
from dataclasses import dataclass

import trio

from carobwalk.dispatch._replay_body import ReplayBody
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._ticket import Ticket
from carobwalk.dispatch._upstream import UpstreamRequest
from carobwalk.model import Clock, Failure, FailureKind, ReplySink, RequestHead
from carobwalk.model import ShardNumber as Shard
from carobwalk.profiles import Profile

_BODY_WINDOW_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class Passage:
    """One request at a dispatcher.

    Args:
        head: The request.
        body: Its body.
        shard: Shard of its key, if any.
        sink: Receiver of the answer.
        profile: Settings of its service.
        clock: The dispatcher's clock.
        gate: Counts its sends.
        arrived_at: When it arrived, on the dispatcher's clock.
        expires_at: When it must have ended.
    """

    head: RequestHead
    body: ReplayBody
    shard: Shard | None
    sink: ReplySink
    profile: Profile
    clock: Clock
    gate: SendGate
    arrived_at: float
    expires_at: float

    def ticket(self, *, solo: bool) -> Ticket:
        """Return a place in the queue.

        Args:
            solo: Whether the request must run alone.
        """
        return Ticket(
            rank=self.head.rank,
            caller=self.head.caller,
            size=self._size(),
            expires_at=self.expires_at,
            solo=solo,
        )

    def upstream_request(self) -> UpstreamRequest:
        """Return the request as it is sent, from the start of its body."""
        self.body.rewind()
        return UpstreamRequest(
            head=self.head,
            body=self.body,
            shard=self.shard,
            gate=self.gate,
            expires_at=self.expires_at,
        )

    @property
    def has_whole_body(self) -> bool:
        """Whether the caller has passed all of its body."""
        return self.body.is_whole or self.head.body_length == 0

    def failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure with the request's outcome as far as known."""
        return Failure(kind=kind, outcome=self.gate.outcome, detail=detail)

    def overdue(self, detail: str) -> Failure:
        """Return the failure of a request whose time is over."""
        return self.failure(FailureKind.DEADLINE, detail)

    def trio_deadline(self) -> float:
        """Return when it must have ended, on the event loop's clock."""
        return trio.current_time() + self.expires_at - self.clock.now()

    def _size(self) -> int:
        texts = itertools.chain.from_iterable(self.head.headers)
        body = self.head.body_length
        if body is None:
            body = _BODY_WINDOW_BYTES
        fields = sum(len(text) for text in texts)
        return len(self.head.target) + fields + min(body, _BODY_WINDOW_BYTES)
