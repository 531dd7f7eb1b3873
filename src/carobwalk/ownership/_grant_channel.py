"""Contract of the way from a coordinator to a backend server."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Endpoint
from carobwalk.ownership._server_messages import GrantReport, ServerOrder


@dataclass(frozen=True, slots=True)
class GrantFailure:
    """An order that brought no report.

    Args:
        refused: Whether the connection was refused, so nothing listens there.
        detail: Cause in plain English.
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
            timeout: Longest wait in seconds.
        """
