"""Forwarder that sends each request to the server that the chooser prefers."""

from collections.abc import Sequence

import trio
from result import Result

from carobwalk.dispatch import DispatchPool
from carobwalk.model import (
    Call,
    Completion,
    Failure,
    Placement,
    ReplySink,
)


class ChoosingForwarder:
    """Forwards each request to the server that the chooser prefers.

    The chooser learns from the outcomes that this entry has seen.

    Args:
        pool: Dispatchers of the servers, with their chooser.
        placements: Placements to choose from.
    """

    def __init__(
        self,
        pool: DispatchPool,
        placements: Sequence[Placement],
    ) -> None:
        self._pool = pool
        self._placements = placements

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward a request to the chosen server and record its outcome."""
        chooser = self._pool.chooser
        chosen = chooser.choose(self._placements) or placement
        began_at = trio.current_time()
        with chooser.sending(chosen):
            ending = await self._pool.forward(call, chosen, sink)
        chooser.record(chosen, ending, trio.current_time() - began_at)
        return ending
