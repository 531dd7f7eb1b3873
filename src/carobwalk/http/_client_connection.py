"""Client's side of one HTTP/1.1 connection."""

from typing import Final
from urllib.parse import quote, urlencode

import h11
import trio
from result import Err, Ok, Result

from carobwalk.http._failures import NoAnswer
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._server import parse_headers
from carobwalk.model import Address

_MAX_BODY_BYTES: Final = 16_777_216


class ClientConnection:
    """Connection that carries one request at a time.

    Args:
        address: Address of the server.
        stream: Connected stream.
        echo_header: Header field that responses repeat from their requests,
            in lower case; ``None`` if there is none.
    """

    def __init__(
        self,
        address: Address,
        stream: trio.SocketStream,
        echo_header: str | None,
    ) -> None:
        self._address = address
        self._echo_header = echo_header
        self._http = H11Stream(stream, h11.CLIENT)
        self._is_used = False
        self._is_echoed = False

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

        Bytes after a response could be taken for the next response. The same
        holds for a late response if responses don't identify themselves.
        """
        stray, _ = self._http.protocol.trailing_data
        is_matched = self._echo_header is None or self._is_echoed
        return is_matched and not stray and self._http.is_reusable

    async def exchange(
        self, request: HttpRequest
    ) -> Result[HttpResponse, NoAnswer]:
        """Send a request and wait for the complete response.

        Args:
            request: Request to send.

        Raises:
            h11.ProtocolError: If the server violates the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        is_first = not self._is_used
        if self._is_used:
            self._http.protocol.start_next_cycle()
        self._is_used = True
        self._is_echoed = False
        response = await self._send_and_receive(request)
        if response is None:
            detail = f'{self._address}: body too large or no response'
            return Err(NoAnswer(detail))
        if self._echo_header is not None:
            echoed = response.headers.get(self._echo_header)
            self._is_echoed = echoed == request.headers.get(self._echo_header)
            # The first response on a connection can belong to no other request.
            if not self._is_echoed and (echoed or not is_first):
                detail = f'{self._address}: response to another request'
                return Err(NoAnswer(detail))
        return Ok(response)

    async def aclose(self) -> None:
        """Close immediately, discarding unsent and unread data."""
        await trio.aclose_forcefully(self._http.stream)

    async def _send_and_receive(
        self, request: HttpRequest
    ) -> HttpResponse | None:
        await self._http.send(*_request_events(self._address, request))
        event = await self._http.receive()
        while isinstance(event, h11.InformationalResponse):
            event = await self._http.receive()
        if not isinstance(event, h11.Response):
            return None
        body = await self._http.read_body(_MAX_BODY_BYTES)
        if body is None:
            return None
        return HttpResponse(
            status=event.status_code,
            headers=parse_headers(event.headers),
            body=body,
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
