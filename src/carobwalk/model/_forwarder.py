"""Interface for forwarding a request to its backend server."""

from typing import Protocol

from result import Result

from carobwalk.model._call import Call, ReplySink
from carobwalk.model._completion import Completion
from carobwalk.model._failure import Failure
from carobwalk.model._placement import Placement


class Forwarder(Protocol):
    """Forwards a request to a placement and relays the response."""

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward the request; cancelling the task cancels the request.

        Args:
            call: The request.
            placement: Backend server, its dispatcher and the fencing token.
            sink: Receiver of the response. ``start`` has not been called if
                the result is a failure whose outcome is ``not-run``.

        Returns:
            The completion, or the failure with its outcome.
        """
