"""State of one request at a dispatcher."""

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
class DispatchRequest:
    """A request that a dispatcher has accepted.

    Args:
        head: The request.
        body: Its body.
        shard: Shard of its key; ``None`` for unkeyed requests.
        sink: Receiver of the response.
        profile: Settings of its service.
        clock: The dispatcher's clock.
        gate: Authorises and counts its sends.
        arrived_at: When it arrived, on the dispatcher's clock.
        expires_at: Its deadline, on the dispatcher's clock.
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

    def ticket(self, *, is_exclusive: bool) -> Ticket:
        """Return a new queue entry for the request.

        Args:
            is_exclusive: Whether no other request may run beside it.
        """
        return Ticket(
            rank=self.head.rank,
            caller=self.head.caller,
            size=self._size(),
            expires_at=self.expires_at,
            is_exclusive=is_exclusive,
        )

    def upstream_request(self) -> UpstreamRequest:
        """Return the request to send, with its body rewound."""
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
        """Whether the whole body was received from the caller."""
        return self.body.is_whole or self.head.body_length == 0

    def failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure with the outcome known so far."""
        return Failure(kind=kind, outcome=self.gate.outcome, detail=detail)

    def deadline_failure(self, detail: str) -> Failure:
        """Return the failure of a request that exceeded its deadline."""
        return self.failure(FailureKind.DEADLINE, detail)

    def trio_deadline(self) -> float:
        """Return the deadline on the event loop's clock."""
        return trio.current_time() + self.expires_at - self.clock.now()

    def _size(self) -> int:
        texts = itertools.chain.from_iterable(self.head.headers)
        body = self.head.body_length
        if body is None:
            body = _BODY_WINDOW_BYTES
        fields = sum(len(text) for text in texts)
        return len(self.head.target) + fields + min(body, _BODY_WINDOW_BYTES)
