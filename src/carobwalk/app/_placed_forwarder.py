"""Choice between this process's own dispatcher and another process."""

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


class PlacedForwarder:
    """Runs a request at the dispatcher that its placement names.

    Args:
        own_id: Identity of this process.
        local: Dispatchers of this process.
        remote: Carries requests to other processes.
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
        """Run the request; see ``Forwarder``."""
        if placement.dispatcher.name == self._own_id:
            return await self._local.forward(call, placement, sink)
        return await self._remote.forward(call, placement, sink)
