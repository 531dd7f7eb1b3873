"""Exchange of one request and its response over a connection."""

from dataclasses import replace

import h11
import trio
from result import Err, Result

from carobwalk.dispatch._h11_connection import H11Connection
from carobwalk.dispatch._response_handler import ResponseHandler
from carobwalk.dispatch._upstream import UpstreamRequest
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    NotSent,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import BodyError, Completion

_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
_RESPONSE_ERRORS = (h11.RemoteProtocolError, *_CONNECTION_ERRORS)


class H11Exchange:
    """Sends a request and reads its response concurrently.

    Args:
        connection: Connection reserved for this exchange.
        request: The request; its gate has authorised the send.
        response_handler: Processes the events of the response.
    """

    def __init__(
        self,
        connection: H11Connection,
        request: UpstreamRequest,
        response_handler: ResponseHandler,
    ) -> None:
        self._connection = connection
        self._request = request
        self._response_handler = response_handler
        self._sent_bytes = 0
        self._body_failure: CallerLost | None = None

    async def run(
        self,
        head: h11.Request,
    ) -> Result[Completion, UpstreamFailure]:
        """Send the request and handle its response.

        Args:
            head: Request line and header fields to send.
        """
        failure = await self._send_head(head)
        if failure is not None:
            return Err(failure)
        if self._request.head.body_length == 0:
            return await self._run_empty()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump_body, nursery.cancel_scope)
            result = await self._read_response()
            nursery.cancel_scope.cancel()
        if self._body_failure is not None:
            return Err(self._body_failure)
        return result.map(self._with_sent_bytes)

    async def _run_empty(self) -> Result[Completion, UpstreamFailure]:
        """Exchange a request without a body; no second task is needed."""
        try:
            await self._connection.send(h11.EndOfMessage())
        except _CONNECTION_ERRORS:
            return Err(Unanswered('connection lost after the head'))
        return await self._read_response()

    async def _send_head(
        self,
        head: h11.Request,
    ) -> NotSent | Unanswered | None:
        try:
            rest = await self._connection.send_first(head)
        except trio.Cancelled:
            # A cancelled socket send has written nothing.
            self._request.gate.undo_send()
            raise
        except OSError as error:
            self._request.gate.undo_send()
            return NotSent(f'connection lost before sending: {error}')
        try:
            await self._connection.send_rest(rest)
        except _CONNECTION_ERRORS:
            return Unanswered('connection lost while sending the head')
        return None

    async def _pump_body(self, scope: trio.CancelScope) -> None:
        try:
            await self._send_body()
        except (BodyError, h11.LocalProtocolError) as error:
            self._body_failure = CallerLost(f'body broke off: {error}')
            scope.cancel()
        except _CONNECTION_ERRORS:
            # The reader finds out whether the server responded before closing.
            return

    async def _send_body(self) -> None:
        if self._request.head.body_length != 0:
            while chunk := await self._request.body.receive():
                await self._connection.send(h11.Data(data=chunk))
                self._sent_bytes += len(chunk)
        await self._connection.send(h11.EndOfMessage())

    async def _read_response(self) -> Result[Completion, UpstreamFailure]:
        while True:
            try:
                event = await self._connection.receive()
            except _RESPONSE_ERRORS as error:
                return Err(self._response_handler.connection_lost(repr(error)))
            result = await self._response_handler.handle(event)
            if result is not None:
                return result

    def _with_sent_bytes(self, completion: Completion) -> Completion:
        return replace(completion, sent_bytes=self._sent_bytes)
