"""Forwarder of a process that takes no requests from its peers."""

from result import Err, Result

from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
    ReplySink,
)


class NoForwarder:
    """Refuses the requests of peers: each process sends its own."""

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Refuse a request."""
        detail = 'this process dispatches nothing for others'
        return Err(
            Failure(FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN, detail),
        )
