"""HTTP senders for the tests of the store's clients."""

import trio
from result import Err, Ok, Result

from carobwalk.http import (
    HttpFailure,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    NoAnswer,
)
from carobwalk.model import Address


class FixedSender:
    """Sender that returns the same result for all requests."""

    def __init__(self, result: Result[HttpResponse, HttpFailure]) -> None:
        self._result = result

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Return the fixed result."""
        return self._result


class HandlerSender:
    """Sender that passes requests to a handler and enforces the timeout."""

    def __init__(self, handler: HttpHandler) -> None:
        self._handler = handler

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Return the handler's response, or ``NoAnswer`` after the timeout."""
        with trio.move_on_after(timeout):
            return Ok(await self._handler(request))
        return Err(NoAnswer('timeout'))
