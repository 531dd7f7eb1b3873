"""The answer of a backend server on its way to the caller."""

import h11
from result import Err, Ok, Result

from carobwalk.dispatch._h11_connection import AnswerEvent
from carobwalk.dispatch._headers import (
    answer_headers,
    has_stated_end,
    refusal_in,
)
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    Refused,
    Truncated,
    Unanswered,
    UpstreamFailure,
)
from carobwalk.model import CallerGoneError, Completion, ReplySink, ServerId

_AnswerEnd = Result[Completion, UpstreamFailure]


class Answer:
    """Takes the events of one answer in order.

    Args:
        method: Method of the request.
        server: Backend server that answers.
        sink: Receiver of the answer.
    """

    def __init__(self, method: str, server: ServerId, sink: ReplySink) -> None:
        self._method = method
        self._server = server
        self._sink = sink
        self._status: int | None = None
        self._refusal: Refused | None = None
        self._received_bytes = 0

    async def take(
        self,
        event: AnswerEvent,
    ) -> _AnswerEnd | None:
        """Pass an event on; return the end of the exchange, if it is one."""
        try:
            return await self._pass_on(event)
        except CallerGoneError as error:
            return Err(CallerLost(f'caller left the answer: {error}'))

    def broken(self, detail: str) -> Unanswered | Truncated | Refused:
        """Return how far the answer had come when its connection broke."""
        if self._refusal is not None:
            return self._refusal
        if self._status is None:
            return Unanswered(f'connection lost before the answer: {detail}')
        return Truncated(f'connection lost within the answer: {detail}')

    async def _pass_on(
        self,
        event: AnswerEvent,
    ) -> _AnswerEnd | None:
        if isinstance(event, h11.Response):
            return await self._start(event)
        if isinstance(event, h11.Data):
            await self._write(bytes(event.data))
            return None
        if isinstance(event, h11.EndOfMessage):
            return self._end()
        if isinstance(event, h11.InformationalResponse):
            return None
        return Err(self.broken('closed by the server'))

    async def _start(self, response: h11.Response) -> _AnswerEnd | None:
        headers = list(response.headers)
        self._refusal = refusal_in(response.status_code, headers)
        if self._refusal is not None:
            return None
        self._status = response.status_code
        if not has_stated_end(self._status, self._method, headers):
            return Err(Truncated('the answer does not state its length'))
        await self._sink.start(self._status, answer_headers(headers))
        return None

    async def _write(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        if self._refusal is None:
            await self._sink.write(chunk)

    def _end(self) -> _AnswerEnd:
        if self._refusal is not None or self._status is None:
            return Err(self._refusal or self.broken('no status'))
        completion = Completion(
            status=self._status,
            server=self._server,
            sent_bytes=0,
            received_bytes=self._received_bytes,
        )
        return Ok(completion)
