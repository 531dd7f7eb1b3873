"""One request and its answer over a connection."""

from dataclasses import replace

import h11
import trio
from result import Err, Result

from carobwalk.dispatch._answer import Answer
from carobwalk.dispatch._h11_connection import H11Connection
from carobwalk.dispatch._upstream import UpstreamRequest
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    NotSent,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import BodyError, Completion

_LOST = (trio.BrokenResourceError, trio.ClosedResourceError)
_BROKEN_ANSWER = (h11.RemoteProtocolError, *_LOST)


class H11Exchange:
    """Sends a request's body while its answer is read.

    Args:
        connection: Connection that carries nothing else meanwhile.
        request: The request; its gate is open.
        answer: Takes the answer.
    """

    def __init__(
        self,
        connection: H11Connection,
        request: UpstreamRequest,
        answer: Answer,
    ) -> None:
        self._connection = connection
        self._request = request
        self._answer = answer
        self._sent_bytes = 0
        self._body_failure: CallerLost | None = None

    async def run(
        self,
        head: h11.Request,
    ) -> Result[Completion, UpstreamFailure]:
        """Send the request and pass its answer on.

        Args:
            head: Request line and header fields to send.
        """
        lost = await self._send_head(head)
        if lost is not None:
            return Err(lost)
        if self._request.head.body_length == 0:
            return await self._run_empty()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump_body, nursery.cancel_scope)
            ending = await self._read_answer()
            nursery.cancel_scope.cancel()
        if self._body_failure is not None:
            return Err(self._body_failure)
        return ending.map(self._with_sent_bytes)

    async def _run_empty(self) -> Result[Completion, UpstreamFailure]:
        """Run a request without a body, which needs no second task."""
        try:
            await self._connection.send(h11.EndOfMessage())
        except _LOST:
            return Err(Unanswered('connection lost after the head'))
        return await self._read_answer()

    async def _send_head(
        self,
        head: h11.Request,
    ) -> NotSent | Unanswered | None:
        try:
            rest = await self._connection.send_first(head)
        except trio.Cancelled:
            # A cancelled send of a socket wrote nothing.
            self._request.gate.retract()
            raise
        except OSError as error:
            self._request.gate.retract()
            return NotSent(f'connection lost before sending: {error}')
        try:
            await self._connection.send_rest(rest)
        except _LOST:
            return Unanswered('connection lost while sending the head')
        return None

    async def _pump_body(self, scope: trio.CancelScope) -> None:
        try:
            await self._send_body()
        except (BodyError, h11.LocalProtocolError) as error:
            self._body_failure = CallerLost(f'body broke off: {error}')
            scope.cancel()
        except _LOST:
            # The reader learns whether the server answered before it closed.
            return

    async def _send_body(self) -> None:
        if self._request.head.body_length != 0:
            while chunk := await self._request.body.receive():
                await self._connection.send(h11.Data(data=chunk))
                self._sent_bytes += len(chunk)
        await self._connection.send(h11.EndOfMessage())

    async def _read_answer(self) -> Result[Completion, UpstreamFailure]:
        while True:
            try:
                event = await self._connection.receive()
            except _BROKEN_ANSWER as error:
                return Err(self._answer.broken(repr(error)))
            ending = await self._answer.take(event)
            if ending is not None:
                return ending

    def _with_sent_bytes(self, completion: Completion) -> Completion:
        return replace(completion, sent_bytes=self._sent_bytes)
