"""HTTP sender that counts calls of the key-value service."""

from typing import Final

from result import Ok, Result

from carobwalk.http import HttpFailure, HttpRequest, HttpResponse, HttpSender
from carobwalk.metrics._metrics import Metrics
from carobwalk.model import Address

_PATH_SEPARATOR: Final = '/'


class MeteredSender:
    """Counts calls by the first segment of their path and their result.

    The result is the HTTP status, or the class name of the failure.

    Args:
        sender: Sends the requests.
        metrics: Receives the counts.
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
        """Send a request; see ``HttpSender``."""
        result = await self._sender.send(address, request, timeout)
        operation = request.path.split(_PATH_SEPARATOR)[1]
        outcome = (
            str(result.ok_value.status)
            if isinstance(result, Ok)
            else type(result.err_value).__name__
        )
        self._metrics.record_store_call(operation, outcome)
        return result
