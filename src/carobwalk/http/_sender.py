"""Interface of HTTP clients."""

from typing import Protocol

from result import Result

from carobwalk.http._failures import HttpFailure
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.model import Address


class HttpSender(Protocol):
    """Sends requests whose bodies are held in memory."""

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and wait for the complete response.

        Args:
            address: Address of the server.
            request: Request to send; it is sent at most once.
            timeout: Timeout in seconds.
        """
