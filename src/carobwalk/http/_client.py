"""HTTP client with a pool of idle connections."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import h11
import trio
from result import Err, Ok, Result

from carobwalk.http._answer_memory import AnswerMemory, AnswerShare
from carobwalk.http._client_connection import ClientConnection
from carobwalk.http._error_detail import error_detail
from carobwalk.http._failures import (
    AnswerTooLong,
    ConnectFailed,
    HttpFailure,
    JoinedHeads,
    NoAnswer,
)
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.model import Address

_MAX_ANSWER_BYTES: Final = 16_777_216
# Longest time beyond its timeout for a response that keeps arriving.
_MAX_EXTENSION_SECONDS: Final = 10.0
_CONNECTION_ERRORS: Final = (
    AnswerTooLong,
    JoinedHeads,
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
        memory: Limits the memory that responses use while they are received;
            by default, nothing does.
    """

    def __init__(
        self,
        idle_limit: int = 8,
        connect: Callable[[Address], Awaitable[trio.SocketStream]]
        | None = None,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
        memory: AnswerMemory | None = None,
    ) -> None:
        self._idle_limit = idle_limit
        self._connect = connect or _connect
        self._max_answer_bytes = max_answer_bytes
        self._memory = memory
        self._idle_by_address: dict[Address, list[ClientConnection]] = (
            defaultdict(list)
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
                A request may allow a response that keeps arriving more time.

        Returns:
            The response; ``ConnectFailed`` if no byte of the request was
            sent; ``NoAnswer`` if the request may have arrived.
        """
        acquired: Result[ClientConnection, HttpFailure] | None = None
        with trio.move_on_after(timeout) as scope:
            acquired = await self._acquire(address)
            if isinstance(acquired, Err):
                return acquired
            if not request.may_send():
                await acquired.ok_value.aclose()
                return Err(ConnectFailed(f'{address}: open too late'))
            connection = acquired.ok_value
            connection.on_receive = _extension(scope, request.stall_seconds)
            return await self._exchange(address, connection, request)
        if acquired is None:
            return Err(ConnectFailed(f'{address}: not open in {timeout} s'))
        return Err(NoAnswer(f'no answer from {address} within {timeout} s'))

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle_by_address.values()))

    async def close_unusable(self) -> None:
        """Close idle connections on which data or their end has arrived."""
        unusable: list[ClientConnection] = []
        for address, idle in tuple(self._idle_by_address.items()):
            for connection in tuple(idle):
                if not connection.is_open:
                    idle.remove(connection)
                    unusable.append(connection)
            if not idle:
                self._idle_by_address.pop(address)
        for closing in unusable:
            await closing.aclose()

    async def _acquire(
        self,
        address: Address,
    ) -> Result[ClientConnection, HttpFailure]:
        idle = self._idle_by_address[address]
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return Ok(connection)
            await connection.aclose()
        try:
            stream = await self._connect(address)
        except ConnectionRefusedError as error:
            return Err(ConnectFailed(f'{address}: {error}', is_refused=True))
        except OSError as error:
            return Err(ConnectFailed(f'{address}: {error}'))
        share = AnswerShare(self._memory) if self._memory else None
        return Ok(
            ClientConnection(address, stream, self._max_answer_bytes, share)
        )

    async def _exchange(
        self,
        address: Address,
        connection: ClientConnection,
        request: HttpRequest,
    ) -> Result[HttpResponse, HttpFailure]:
        is_pooled = False
        try:
            response = await connection.exchange(request)
            is_pooled = self._release(address, connection)
        except _CONNECTION_ERRORS as error:
            return Err(NoAnswer(f'{address}: {error_detail(error)}'))
        finally:
            if not is_pooled:
                await connection.aclose()
        return response

    def _release(self, address: Address, connection: ClientConnection) -> bool:
        """Return a connection to the pool; return whether it was accepted."""
        idle = self._idle_by_address[address]
        if not connection.is_reusable or len(idle) >= self._idle_limit:
            return False
        idle.append(connection)
        return True


def _extension(
    scope: trio.CancelScope, stall_seconds: float
) -> Callable[[], None] | None:
    """Return what is done when a part of a response arrives.

    The deadline is moved while parts keep arriving, up to a limit.
    """
    if not stall_seconds:
        return None
    latest = scope.deadline + _MAX_EXTENSION_SECONDS
    return partial(_extend, scope, stall_seconds, latest)


def _extend(
    scope: trio.CancelScope, stall_seconds: float, latest: float
) -> None:
    wanted = min(trio.current_time() + stall_seconds, latest)
    scope.deadline = max(scope.deadline, wanted)


async def _connect(address: Address) -> trio.SocketStream:
    return await trio.open_tcp_stream(address.host, address.port)
