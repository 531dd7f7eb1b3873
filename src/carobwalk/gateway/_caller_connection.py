"""One connection of a caller."""

from http import HTTPStatus
from typing import Final

import h11
import trio

from carobwalk.gateway import _refusals as refusals
from carobwalk.gateway._attempt_log import ConnectionCrashed
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._gateway_service import GatewayService
from carobwalk.gateway._reply import Reply
from carobwalk.gateway._request_error import RequestError
from carobwalk.gateway._request_reader import RequestReader
from carobwalk.gateway._request_run import RequestRun
from carobwalk.http import H11Stream

_RECEIVE_BYTES: Final = 65_536
_STALL_SECONDS: Final = 5.0
_LINGER_SECONDS: Final = 0.5
# After so many turns of the event loop it is known whether a caller left
# before its request was read, as it may on a busy host.
_TICKS_TO_WATCH: Final = 3
_GONE: Final = (
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.LocalProtocolError,
)
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class CallerConnection:
    """Serves the requests of one connection, one after another.

    Args:
        stream: Connected stream.
        service: What all connections share.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        service: GatewayService,
    ) -> None:
        self.idle_scope = trio.CancelScope()
        self._service = service
        self._stream = stream
        limits = service.limits()
        self._http = H11Stream(stream, h11.SERVER, limits.header_bytes)
        caller = str(stream.socket.getpeername()[0])
        self._reader = RequestReader(self._http, service, caller)

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            while await self._serve_next():
                self._http.protocol.start_next_cycle()
        except _GONE:
            return  # The caller went away, or does not take its answer.
        except Exception as error:
            # A fault of the program ends one connection, not the process.
            self._service.events.emit(
                ConnectionCrashed(type(error).__name__, str(error)),
            )
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        if not await self._wait_for_first_byte():
            return False
        try:
            request = await self._read()
        except RequestError as error:
            await self._refuse(error)
            return False
        if request is None:
            return False
        reply = await self._answer(request)
        if reply is None:
            return False
        await self._write(reply, request.method)
        return self._http.is_reusable and not self._service.is_stopping()

    async def _wait_for_first_byte(self) -> bool:
        if self._http.protocol.trailing_data[0]:
            return True
        seconds = self._service.limits().idle_seconds
        self.idle_scope = trio.CancelScope()
        self.idle_scope.deadline = trio.current_time() + seconds
        chunk = b''
        with self.idle_scope:
            chunk = bytes(await self._stream.receive_some(_RECEIVE_BYTES))
        if not chunk:
            return False
        self._http.protocol.receive_data(chunk)
        return True

    async def _read(self) -> CallerRequest | None:
        seconds = self._service.limits().header_seconds
        head_read = trio.CancelScope(deadline=trio.current_time() + seconds)
        head = None
        with head_read:
            head = await self._reader.read_head()
        if head_read.cancelled_caught:
            raise RequestError(HTTPStatus.REQUEST_TIMEOUT, 'head too slow')
        return await self._reader.read_request(head) if head else None

    async def _answer(self, request: CallerRequest) -> Reply | None:
        """Return the answer, ``None`` if the caller left before it."""
        run = RequestRun(self._service, request)
        reply: Reply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            for _ in range(_TICKS_TO_WATCH):
                await trio.lowlevel.checkpoint()
            reply = await run.run()
            nursery.cancel_scope.cancel()
        run.log(reply)
        return reply

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller goes away."""
        try:
            chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        if chunk:
            self._http.protocol.receive_data(bytes(chunk))
        else:
            scope.cancel()

    async def _write(self, reply: Reply, method: bytes) -> None:
        headers = list(reply.headers)
        is_bodiless = reply.status in _BODILESS
        if not is_bodiless:
            length = str(len(reply.body)).encode()
            headers.append((b'content-length', length))
        if self._service.is_stopping():
            headers.append((b'connection', b'close'))
        body = b'' if is_bodiless or method == b'HEAD' else reply.body
        with trio.fail_after(_STALL_SECONDS):
            await self._http.send(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )

    async def _drain(self) -> None:
        chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        while chunk:
            chunk = await self._stream.receive_some(_RECEIVE_BYTES)

    async def _refuse(self, error: RequestError) -> None:
        """Answer a request that can't be read, and take in what follows.

        Closing a connection with unread bytes would reset it, and the caller
        might lose the answer.
        """
        reply = refusals.rejected(error.status, error.detail)
        headers = [
            (b'content-length', str(len(reply.body)).encode()),
            (b'connection', b'close'),
        ]
        with trio.move_on_after(_STALL_SECONDS):
            await self._http.send(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=reply.body),
                h11.EndOfMessage(),
            )
            await self._stream.send_eof()
        with trio.move_on_after(_LINGER_SECONDS):
            await self._drain()
