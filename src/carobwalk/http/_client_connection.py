"""Client's side of one HTTP/1.1 connection."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote, urlencode

import h11
import trio
from result import Err, Ok, Result

from carobwalk.http._answer_memory import AnswerShare
from carobwalk.http._answer_reader import AnswerReader, declared_length
from carobwalk.http._failures import NoAnswer
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._server import parse_headers
from carobwalk.model import Address


class ClientConnection:
    """Connection that carries one request at a time.

    Args:
        address: Address of the server.
        stream: Connected stream.
        max_answer_bytes: Maximum size of the body of a response in bytes.
        share: Memory to reserve for responses; by default, none is reserved.

    Attributes:
        on_receive: Called when a part of the next response has arrived.
    """

    def __init__(
        self,
        address: Address,
        stream: trio.SocketStream,
        max_answer_bytes: int,
        share: AnswerShare | None = None,
    ) -> None:
        self._share = share
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._http = H11Stream(stream, h11.CLIENT)
        self.on_receive: Callable[[], None] | None = None
        self._is_used = False
        self._is_spent = False

    @property
    def is_open(self) -> bool:
        """Whether the server has left the idle connection open."""
        stream = self._http.stream
        if not isinstance(stream, trio.SocketStream):
            return True
        # A server sends nothing on an idle connection, so readable means
        # closed.
        return not stream.socket.is_readable()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent.

        Bytes after a response could be taken for the next response.
        """
        stray, _ = self._http.protocol.trailing_data
        return not (self._is_spent or stray) and self._http.is_reusable

    async def exchange(
        self, request: HttpRequest
    ) -> Result[HttpResponse, NoAnswer]:
        """Send a request and wait for the complete response.

        Args:
            request: Request to send.

        Raises:
            AnswerTooLong: If the response exceeds a limit.
            JoinedHeads: If the head contains that of another response.
            h11.ProtocolError: If the server violates the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        is_first = not self._is_used
        if self._is_used:
            self._http.protocol.start_next_cycle()
        self._is_used = True
        self._is_spent = bool(request.answer_field)
        try:
            response = await self._send_and_receive(request, is_first=is_first)
        finally:
            if self._share is not None:
                self._share.release()
        if response is None:
            return Err(NoAnswer(f'{self._address}: no response'))
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            self._is_spent |= not request.is_reused_after_failure
        has_field = request.answer_field in response.headers
        if request.answer_field and not (is_first or has_field):
            detail = f'{self._address}: response to another request'
            return Err(NoAnswer(detail))
        return Ok(response)

    async def aclose(self) -> None:
        """Close immediately, discarding unsent and unread data."""
        await trio.aclose_forcefully(self._http.stream)

    async def _send_and_receive(
        self, request: HttpRequest, *, is_first: bool
    ) -> HttpResponse | None:
        self._http.on_receive = self.on_receive
        await self._http.send(*_request_events(self._address, request))
        reader = AnswerReader(self._http, self._max_answer_bytes, self._share)
        head = await reader.read_head()
        if head is None:
            return None
        length = declared_length(head, request.method.encode())
        return HttpResponse(
            status=head.status_code,
            headers=parse_headers(head.headers),
            body=await reader.read_body(length),
            is_first=is_first,
        )


def _request_events(
    address: Address,
    request: HttpRequest,
) -> tuple[h11.Event, ...]:
    target = quote(request.path)
    if request.query:
        target = f'{target}?{urlencode(request.query)}'
    headers = [
        ('host', str(address)),
        ('content-length', str(len(request.body))),
        *request.headers.items(),
    ]
    return (
        h11.Request(method=request.method, target=target, headers=headers),
        h11.Data(data=request.body),
        h11.EndOfMessage(),
    )
