"""HTTP client with a pool of idle connections."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Final
from urllib.parse import quote, urlencode

import h11
import trio
from result import Err, Ok, Result

from carobwalk.http._answer_reader import AnswerReader, declared_length
from carobwalk.http._error_detail import error_detail
from carobwalk.http._failures import (
    AnswerTooLong,
    ConnectFailed,
    HttpFailure,
    NoAnswer,
)
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._server import parse_headers
from carobwalk.model import Address

_MAX_ANSWER_BYTES: Final = 16_777_216
_CONNECTION_ERRORS: Final = (
    AnswerTooLong,
    h11.ProtocolError,
    trio.BrokenResourceError,
)


class HttpClient:
    """Sends requests over persistent connections, without pipelining.

    Requests and responses are held in memory as a whole. A request is sent
    at most once.

    Args:
        idle_limit: Maximum number of idle connections per address; further
            ones are closed after use.
        connect: Opens a connection; by default, without keep-alive probes.
        max_answer_bytes: Maximum size of the body of a response in bytes.
    """

    def __init__(
        self,
        idle_limit: int = 8,
        connect: Callable[[Address], Awaitable[trio.SocketStream]]
        | None = None,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
    ) -> None:
        self._idle_limit = idle_limit
        self._connect = connect or _connect
        self._max_answer_bytes = max_answer_bytes
        self._idle_by_address: dict[Address, list[H11Stream]] = defaultdict(
            list,
        )

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and wait for the complete response.

        Args:
            address: Address of the server.
            request: Request to send.
            timeout: Timeout in seconds, including the connection set-up.

        Returns:
            The response; ``ConnectFailed`` if no byte of the request was
            sent; ``NoAnswer`` if the request may have arrived.
        """
        acquired: Result[H11Stream, HttpFailure] | None = None
        with trio.move_on_after(timeout):
            acquired = await self._acquire(address)
            if isinstance(acquired, Err):
                return acquired
            return await self._exchange(address, acquired.ok_value, request)
        if acquired is None:
            return Err(ConnectFailed(f'{address}: not open in {timeout} s'))
        return Err(NoAnswer(f'no answer from {address} within {timeout} s'))

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle_by_address.values()))

    async def close_unusable(self) -> None:
        """Close idle connections on which data or their end has arrived."""
        unusable: list[H11Stream] = []
        for address, idle in tuple(self._idle_by_address.items()):
            for connection in tuple(idle):
                if not _is_open(connection):
                    idle.remove(connection)
                    unusable.append(connection)
            if not idle:
                self._idle_by_address.pop(address)
        for closing in unusable:
            await trio.aclose_forcefully(closing.stream)

    async def _acquire(
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
        is_pooled = False
        try:
            await connection.send(*_request_events(address, request))
            response = await self._receive(connection, request.method)
            is_pooled = self._release(address, connection)
        except _CONNECTION_ERRORS as error:
            return Err(NoAnswer(f'{address}: {error_detail(error)}'))
        finally:
            if not is_pooled:
                await trio.aclose_forcefully(connection.stream)
        if response is None:
            return Err(NoAnswer(f'{address}: no response'))
        return Ok(response)

    async def _receive(
        self,
        connection: H11Stream,
        method: str,
    ) -> HttpResponse | None:
        reader = AnswerReader(connection, self._max_answer_bytes)
        head = await reader.read_head()
        if head is None:
            return None
        return HttpResponse(
            status=head.status_code,
            headers=parse_headers(head.headers),
            body=await reader.read_body(
                declared_length(head, method.encode()),
            ),
        )

    def _release(self, address: Address, connection: H11Stream) -> bool:
        """Return a connection to the pool; return whether it was accepted."""
        idle = self._idle_by_address[address]
        # Bytes after a response would be taken for the next one.
        unexpected, _ = connection.protocol.trailing_data
        if unexpected or not connection.is_reusable:
            return False
        if len(idle) >= self._idle_limit:
            return False
        connection.protocol.start_next_cycle()
        idle.append(connection)
        return True


async def _connect(address: Address) -> trio.SocketStream:
    return await trio.open_tcp_stream(address.host, address.port)


def _is_open(connection: H11Stream) -> bool:
    """Return whether the server has left an idle connection open."""
    stream = connection.stream
    if not isinstance(stream, trio.SocketStream):
        return True
    # A server sends nothing on an idle connection, so readable means closed.
    return not stream.socket.is_readable()


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
