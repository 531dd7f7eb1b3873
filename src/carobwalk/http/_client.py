"""Client of small HTTP exchanges."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Final
from urllib.parse import quote, urlencode

import h11
import trio
from result import Err, Ok, Result

from carobwalk.http._failures import ConnectFailed, HttpFailure, NoAnswer
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._server import parse_headers
from carobwalk.model import Address

_BODY_LIMIT_BYTES: Final = 16_777_216


class HttpClient:
    """Sends small requests over kept connections, one at a time on each.

    Args:
        idle_limit: Idle connections kept for each address.
        connect: Opens a connection.
    """

    def __init__(
        self,
        idle_limit: int = 8,
        connect: Callable[[Address], Awaitable[trio.SocketStream]]
        | None = None,
    ) -> None:
        self._idle_limit = idle_limit
        self._connect = connect or _connect
        self._idle_by_address: dict[Address, list[H11Stream]] = defaultdict(
            list,
        )

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and wait for its whole response.

        Args:
            address: Where the server listens.
            request: The request.
            timeout: Longest wait in seconds.

        Returns:
            The response, ``ConnectFailed`` if no byte was sent, or
            ``NoAnswer``.
        """
        opened: Result[H11Stream, HttpFailure] | None = None
        with trio.move_on_after(timeout):
            opened = await self._open(address)
            if isinstance(opened, Err):
                return opened
            return await self._exchange(address, opened.ok_value, request)
        if opened is None:
            return Err(ConnectFailed(f'{address}: not open in {timeout} s'))
        return Err(NoAnswer(f'no answer from {address} within {timeout} s'))

    async def _open(
        self,
        address: Address,
    ) -> Result[H11Stream, HttpFailure]:
        idle = self._idle_by_address[address]
        while idle:
            connection = idle.pop()
            if _is_open(connection):
                return Ok(connection)
            await trio.aclose_forcefully(connection.stream)
        try:
            stream = await self._connect(address)
        except ConnectionRefusedError as error:
            return Err(ConnectFailed(f'{address}: {error}', is_refused=True))
        except OSError as error:
            return Err(ConnectFailed(f'{address}: {error}'))
        return Ok(H11Stream(stream, h11.CLIENT))

    async def _exchange(
        self,
        address: Address,
        connection: H11Stream,
        request: HttpRequest,
    ) -> Result[HttpResponse, HttpFailure]:
        kept = False
        try:
            response = await _converse(connection, address, request)
            kept = self._keep(address, connection)
        except (h11.ProtocolError, trio.BrokenResourceError) as error:
            return Err(NoAnswer(f'{address}: {error}'))
        finally:
            if not kept:
                await trio.aclose_forcefully(connection.stream)
        if response is None:
            return Err(NoAnswer(f'{address}: body too large or no response'))
        return Ok(response)

    def _keep(self, address: Address, connection: H11Stream) -> bool:
        idle = self._idle_by_address[address]
        if not connection.is_reusable or len(idle) >= self._idle_limit:
            return False
        connection.protocol.start_next_cycle()
        idle.append(connection)
        return True


async def _connect(address: Address) -> trio.SocketStream:
    return await trio.open_tcp_stream(address.host, address.port)


def _is_open(connection: H11Stream) -> bool:
    """Return whether an idle connection has not been closed meanwhile."""
    stream = connection.stream
    if not isinstance(stream, trio.SocketStream):
        return True
    # An idle server sends nothing, so readable means closed.
    return not stream.socket.is_readable()


async def _converse(
    connection: H11Stream,
    address: Address,
    request: HttpRequest,
) -> HttpResponse | None:
    await connection.send(*_request_events(address, request))
    event = await connection.receive()
    while isinstance(event, h11.InformationalResponse):
        event = await connection.receive()
    if not isinstance(event, h11.Response):
        return None
    body = await connection.read_body(_BODY_LIMIT_BYTES)
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
