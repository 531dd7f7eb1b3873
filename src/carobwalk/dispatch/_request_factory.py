"""Creation of the request state at a dispatcher."""

import functools

from result import Err, Ok, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._dispatch_request import DispatchRequest
from carobwalk.dispatch._lease_history import SendTokens
from carobwalk.dispatch._replay_body import ReplayBody
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.model import (
    Call,
    Placement,
    ReplySink,
    RequestHead,
    ServerId,
)
from carobwalk.ownership import NoLease
from carobwalk.profiles import Profile


class RequestFactory:
    """Creates the state of requests to one backend server.

    Args:
        server: The backend server.
        context: Shared dependencies.
    """

    def __init__(self, server: ServerId, context: DispatchContext) -> None:
        self._server = server
        self._context = context

    def create(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
        profile: Profile,
    ) -> DispatchRequest:
        """Return the state of a request that has just arrived.

        Args:
            call: The request.
            placement: Backend server and shard.
            sink: Receiver of the response.
            profile: Current settings of the service.
        """
        head = call.head
        now = self._context.clock.now()
        allowed = profile.time_limits.get(head.rank, head.deadline)
        return DispatchRequest(
            head=head,
            body=ReplayBody(call.body),
            shard=placement.shard,
            sink=sink,
            profile=profile,
            clock=self._context.clock,
            gate=self._gate(call),
            arrived_at=now,
            expires_at=now + min(head.deadline, allowed),
        )

    def _gate(self, call: Call) -> SendGate:
        head = call.head
        return SendGate(
            functools.partial(self._read_tokens, head),
            idempotent=head.idempotent,
            name=head.request_id,
            progress=call.progress,
        )

    def _read_tokens(self, head: RequestHead) -> Result[SendTokens, NoLease]:
        """Read the dispatcher's lease and, for a key, the owner's grant."""
        authorise = self._context.leases.authorise
        lease = authorise(self._server, head.service, None)
        if isinstance(lease, Err):
            return lease
        if head.key is None:
            return Ok(SendTokens(lease.ok_value, lease.ok_value))
        grant = authorise(self._server, head.service, head.key)
        return grant.map(functools.partial(SendTokens, lease.ok_value))
