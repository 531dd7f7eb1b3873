"""Sender of HTTP requests that counts the calls of the store."""

from typing import Final

from result import Ok, Result

from carobwalk.http import HttpFailure, HttpRequest, HttpResponse, HttpSender
from carobwalk.metrics._metrics import Metrics
from carobwalk.model import Address

_SLASH: Final = '/'


class MeteredSender:
    """Counts calls by the first part of their path and their result.

    Args:
        sender: Sends the calls.
        metrics: Counts them.
    """

    def __init__(self, sender: HttpSender, metrics: Metrics) -> None:
        self._sender = sender
        self._metrics = metrics

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a call; see ``HttpSender``."""
        sent = await self._sender.send(address, request, timeout)
        operation = request.path.split(_SLASH)[1]
        answer = (
            str(sent.ok_value.status)
            if isinstance(sent, Ok)
            else type(sent.err_value).__name__
        )
        self._metrics.record_store_call(operation, answer)
        return sent
