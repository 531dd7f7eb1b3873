"""Contract of everything that takes a request towards its backend server."""

from typing import Protocol

from result import Result

from carobwalk.model._call import Call, ReplySink
from carobwalk.model._completion import Completion
from carobwalk.model._failure import Failure
from carobwalk.model._placement import Placement


class Forwarder(Protocol):
    """Runs a request at a placement and passes its answer on."""

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Run the request; cancelling the task cancels the request.

        Args:
            call: The request.
            placement: Backend server, its dispatcher and the fence token.
            sink: Receiver of the answer. It was not started where the result
                is an error whose outcome is ``not-run``.

        Returns:
            The completion, or the failure with its outcome.
        """
