"""Interface for sending orders to backend servers."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Endpoint
from carobwalk.ownership._server_messages import GrantReport, ServerOrder


@dataclass(frozen=True, slots=True)
class GrantFailure:
    """An order was not answered by a report.

    Args:
        refused: Whether the connection was refused, so that no process listens
            at the address.
        detail: Cause for the operator.
    """

    refused: bool
    detail: str


class GrantChannel(Protocol):
    """Sends orders to backend servers."""

    async def send(
        self,
        server: Endpoint,
        order: ServerOrder,
        timeout: float,
    ) -> Result[GrantReport, GrantFailure]:
        """Send an order and wait for the report.

        Args:
            server: Backend server that the order is for.
            order: The order.
            timeout: Maximum time to wait for the report, in seconds.
        """
