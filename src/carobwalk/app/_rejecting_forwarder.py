"""Forwarder of a process that accepts no requests from its peers."""

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


class RejectingForwarder:
    """Refuses all requests of peers.

    A gateway process sends its requests to backend servers itself.
    """

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Return a failure with outcome ``NOT_RUN``."""
        detail = 'this process dispatches nothing for others'
        return Err(
            Failure(FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN, detail),
        )
