"""Contract of the asking side of small HTTP exchanges."""

from typing import Protocol

from result import Result

from carobwalk.http._failures import HttpFailure
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.model import Address


class HttpSender(Protocol):
    """Sends small requests over kept connections."""

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and wait for its whole response.

        Args:
            address: Where the server listens.
            request: The request; never sent twice.
            timeout: Longest wait in seconds.
        """
