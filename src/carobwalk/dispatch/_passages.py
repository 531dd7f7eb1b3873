"""Begin of each request's way through a dispatcher."""

import functools

from result import Err, Ok, Result

from carobwalk.dispatch._context import DispatchContext
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._replay_body import ReplayBody
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._tenures import Tenure
from carobwalk.model import (
    Call,
    Placement,
    ReplySink,
    RequestHead,
    ServerId,
)
from carobwalk.ownership import NoLease
from carobwalk.profiles import Profile


class Passages:
    """Makes the state of requests to one backend server.

    Args:
        server: The backend server.
        context: Shared collaborators.
    """

    def __init__(self, server: ServerId, context: DispatchContext) -> None:
        self._server = server
        self._context = context

    def begin(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
        profile: Profile,
    ) -> Passage:
        """Return the state of a request that arrives now.

        Args:
            call: The request.
            placement: Backend server and shard.
            sink: Receiver of the answer.
            profile: Current settings of the service.
        """
        head = call.head
        now = self._context.clock.now()
        allowed = profile.time_limits.get(head.rank, head.deadline)
        return Passage(
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
            functools.partial(self._tenure, head),
            idempotent=head.idempotent,
            name=head.request_id,
            progress=call.progress,
        )

    def _tenure(self, head: RequestHead) -> Result[Tenure, NoLease]:
        """Read the dispatcher's lease and, for a key, the owner's grant."""
        authorise = self._context.leases.authorise
        lease = authorise(self._server, head.service, None)
        if isinstance(lease, Err):
            return lease
        if head.key is None:
            return Ok(Tenure(lease.ok_value, lease.ok_value))
        grant = authorise(self._server, head.service, head.key)
        return grant.map(functools.partial(Tenure, lease.ok_value))
