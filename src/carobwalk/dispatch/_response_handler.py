"""Processing of a backend server's response."""

from typing import Final

import h11
from result import Err, Ok, Result

from carobwalk.dispatch._h11_connection import ResponseEvent
from carobwalk.dispatch._headers import (
    has_defined_length,
    parse_refusal,
    response_headers,
)
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    Refused,
    Truncated,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import CallerGoneError, Completion, ReplySink, ServerId

_MAX_STATUS: Final = 599
_ExchangeResult = Result[Completion, UpstreamFailure]


class ResponseHandler:
    """Processes the events of one response in order.

    Args:
        method: Method of the request.
        server: Backend server that responds.
        sink: Receiver of the response.
    """

    def __init__(self, method: str, server: ServerId, sink: ReplySink) -> None:
        self._method = method
        self._server = server
        self._sink = sink
        self._status: int | None = None
        self._refusal: Refused | None = None
        self._received_bytes = 0

    async def handle(
        self,
        event: ResponseEvent,
    ) -> _ExchangeResult | None:
        """Process an event.

        Returns:
            The result of the exchange; ``None`` while it is not finished.
        """
        try:
            return await self._handle_event(event)
        except CallerGoneError as error:
            return Err(CallerLost(f'caller left the answer: {error}'))

    def connection_lost(self, detail: str) -> Unanswered | Truncated | Refused:
        """Return the failure for a connection lost at this point.

        Args:
            detail: Cause of the loss.
        """
        if self._refusal is not None:
            return self._refusal
        if self._status is None:
            return Unanswered(f'connection lost before the answer: {detail}')
        return Truncated(f'connection lost within the answer: {detail}')

    async def _handle_event(
        self,
        event: ResponseEvent,
    ) -> _ExchangeResult | None:
        if isinstance(event, h11.Response):
            return await self._start(event)
        if isinstance(event, h11.Data):
            await self._write(bytes(event.data))
            return None
        if isinstance(event, h11.EndOfMessage):
            return self._end()
        if isinstance(event, h11.InformationalResponse):
            return None
        return Err(self.connection_lost('closed by the server'))

    async def _start(self, response: h11.Response) -> _ExchangeResult | None:
        if response.status_code > _MAX_STATUS:
            detail = f'status {response.status_code}'
            return Err(self.connection_lost(detail))
        headers = list(response.headers)
        self._refusal = parse_refusal(response.status_code, headers)
        if self._refusal is not None:
            return None
        self._status = response.status_code
        if not has_defined_length(self._status, self._method, headers):
            return Err(Truncated('the answer does not state its length'))
        await self._sink.start(self._status, response_headers(headers))
        return None

    async def _write(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        if self._refusal is None:
            await self._sink.write(chunk)

    def _end(self) -> _ExchangeResult:
        if self._refusal is not None or self._status is None:
            return Err(self._refusal or self.connection_lost('no status'))
        completion = Completion(
            status=self._status,
            server=self._server,
            sent_bytes=0,
            received_bytes=self._received_bytes,
        )
        return Ok(completion)
