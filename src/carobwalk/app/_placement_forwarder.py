"""Forwarding to a local or remote dispatcher, according to placement."""

from result import Result

from carobwalk.model import (
    Call,
    Completion,
    Failure,
    Forwarder,
    Placement,
    ProcessId,
    ReplySink,
)


class PlacementForwarder:
    """Forwards a request to the dispatcher that its placement names.

    Args:
        own_id: ID of this process.
        local: Forwards to the dispatchers of this process.
        remote: Forwards to dispatchers of other processes.
    """

    def __init__(
        self,
        own_id: ProcessId,
        local: Forwarder,
        remote: Forwarder,
    ) -> None:
        self._own_id = own_id
        self._local = local
        self._remote = remote

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward the request; see ``Forwarder``."""
        if placement.dispatcher.name == self._own_id:
            return await self._local.forward(call, placement, sink)
        return await self._remote.forward(call, placement, sink)
