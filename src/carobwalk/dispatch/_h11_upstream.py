"""HTTP/1.1 connection pool of one backend server."""

import h11
import trio
from result import Err, Result

from carobwalk.dispatch._errors import ConnectionLimitError
from carobwalk.dispatch._h11_connection import H11Connection
from carobwalk.dispatch._h11_exchange import H11Exchange
from carobwalk.dispatch._headers import request_headers
from carobwalk.dispatch._response_handler import ResponseHandler
from carobwalk.dispatch._upstream import UpstreamRequest
from carobwalk.dispatch._upstream_failures import (
    NotAuthorised,
    NotConnected,
    UpstreamFailure,
)
from carobwalk.model import (
    Clock,
    Completion,
    Endpoint,
    FenceToken,
    ReplySink,
    ServerId,
)

_HOST = b'host'


class H11Upstream:
    """Pool of persistent connections, used by one request each.

    Args:
        server: Backend server.
        limit: Maximum number of open connections.
        clock: Clock of the request deadlines.
    """

    def __init__(self, server: Endpoint, limit: int, clock: Clock) -> None:
        self._server = server
        self._limit = limit
        self._clock = clock
        self._idle: list[H11Connection] = []
        self._open = 0
        self._closed = False

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Send a request once over an idle or a new connection.

        Args:
            request: The request.
            sink: Receiver of the response.

        Raises:
            ConnectionLimitError: If all connections are in use.
        """
        try:
            connection = await self._connect()
        except OSError as error:
            return Err(NotConnected(f'cannot connect: {error}'))
        try:
            return await self._exchange_over(connection, request, sink)
        finally:
            await self._release(connection)

    async def aclose(self) -> None:
        """Close idle connections now and the others once they are released."""
        self._closed = True
        while self._idle:
            await self._close(self._idle.pop())

    async def _exchange_over(
        self,
        connection: H11Connection,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        # There must be no checkpoint between the lease check and the first
        # write, or the lease could expire in between.
        token = request.gate.open()
        if isinstance(token, Err):
            return Err(NotAuthorised(token.err_value.detail))
        head = self._build_head(request, token.ok_value)
        server = ServerId(self._server.name)
        response_handler = ResponseHandler(request.head.method, server, sink)
        return await H11Exchange(connection, request, response_handler).run(
            head
        )

    async def _connect(self) -> H11Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh:
                connection.reset()
                return connection
            await self._close(connection)
        if self._open >= self._limit:
            raise ConnectionLimitError(self._server.name)
        return await self._open_new()

    async def _open_new(self) -> H11Connection:
        address = self._server.address
        self._open += 1
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except BaseException:
            self._open -= 1
            raise
        return H11Connection(stream)

    async def _release(self, connection: H11Connection) -> None:
        if connection.is_reusable and not self._closed:
            self._idle.append(connection)
        else:
            await self._close(connection)

    async def _close(self, connection: H11Connection) -> None:
        self._open -= 1
        with trio.CancelScope(shield=True):
            await connection.aclose()

    def _build_head(
        self, request: UpstreamRequest, token: FenceToken
    ) -> h11.Request:
        remaining = request.expires_at - self._clock.now()
        fields = request_headers(request.head, token, request.shard, remaining)
        if all(name != _HOST for name, _ in fields):
            fields.insert(0, (_HOST, str(self._server.address).encode()))
        return h11.Request(
            method=request.head.method,
            target=request.head.target,
            headers=fields,
        )
