"""Connection from a caller."""

from http import HTTPStatus
from typing import Final

import h11
import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._events import ConnectionCrashed, RequestAnswered
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._request_error import RequestError
from carobwalk.gateway.caller._request_handler import RequestHandler
from carobwalk.gateway.caller._request_reader import RequestReader
from carobwalk.http import BODILESS_STATUSES, AnswerShare, H11Stream

_RECEIVE_BYTES: Final = 65_536
_WRITE_TIMEOUT_SECONDS: Final = 5.0
_LINGER_SECONDS: Final = 0.5
# Event loop iterations after which a disconnect that preceded the reading of
# the request has been detected. On a busy host, requests are often read after
# their callers have given up.
_DISCONNECT_CHECK_TICKS: Final = 3
_DISCONNECT_ERRORS: Final = (
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.LocalProtocolError,
)


class CallerConnection:
    """Serves the requests of one connection sequentially.

    Args:
        stream: Stream to the caller; closed when ``run`` returns.
        service: State shared by all connections of callers.
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
        self._answer_share = AnswerShare(service.answer_memory)
        self._reader = RequestReader(
            self._http,
            service,
            caller,
            self._answer_share,
        )

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_next():
                self._http.protocol.start_next_cycle()
        except _DISCONNECT_ERRORS:
            return  # The caller disconnected or does not read its answer.
        except Exception as error:
            # A bug must end only this connection, not the process.
            self._service.events.emit(
                ConnectionCrashed(type(error).__name__, str(error)),
            )
        finally:
            self._answer_share.release()
            await trio.aclose_forcefully(self._stream)

    async def _serve_next(self) -> bool:
        """Serve one request and return whether the connection stays open."""
        if not await self._wait_for_first_byte():
            return False
        started_at = trio.current_time()
        head = None
        try:
            head = await self._read_head()
            request = await self._reader.read_request(head) if head else None
        except RequestError as error:
            self._log_refusal(error, head, started_at)
            await self._refuse(error.reply(), head)
            return False
        if request is None:
            return False
        reply = await self._answer(request)
        if reply is None:
            return False
        await self._write(reply, request.method)
        self._answer_share.release()
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
        if not chunk and self._stream.socket.is_readable():
            # A request came in the moment in which the wait was ended.
            chunk = bytes(await self._stream.receive_some(_RECEIVE_BYTES))
        if not chunk:
            return False
        self._http.protocol.receive_data(chunk)
        return True

    async def _read_head(self) -> h11.Request | None:
        seconds = self._service.limits().header_seconds
        head_scope = trio.CancelScope(deadline=trio.current_time() + seconds)
        head = None
        with head_scope:
            head = await self._reader.read_head()
        if head_scope.cancelled_caught:
            raise RequestError(HTTPStatus.REQUEST_TIMEOUT, 'head too slow')
        return head

    async def _answer(self, request: CallerRequest) -> Reply | None:
        """Return the answer, ``None`` if the caller disconnected first."""
        handler = RequestHandler(self._service, request)
        reply: Reply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            for _ in range(_DISCONNECT_CHECK_TICKS):
                await trio.lowlevel.checkpoint()
            reply = await handler.run()
            nursery.cancel_scope.cancel()
        handler.log(reply)
        return reply

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller disconnects."""
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
        is_bodiless = reply.status in BODILESS_STATUSES
        if not is_bodiless:
            length = str(len(reply.body)).encode()
            headers.append((b'content-length', length))
        if self._service.is_stopping():
            headers.append((b'connection', b'close'))
        body = b'' if is_bodiless or method == b'HEAD' else reply.body
        with trio.fail_after(_WRITE_TIMEOUT_SECONDS):
            await self._http.send(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )

    def _log_refusal(
        self,
        error: RequestError,
        head: h11.Request | None,
        started_at: float,
    ) -> None:
        """Log and count a request that was answered before it was routed."""
        request_id = self._reader.request_id(head) if head else b''
        seconds = trio.current_time() - started_at
        table = self._service.routes.table
        self._service.meter.record('', 0, error.status, seconds)
        if error.retry_after is not None:
            self._service.meter.record_refusal('', error.detail)
        self._service.events.emit(
            RequestAnswered(
                request=request_id.decode('latin-1'),
                route='',
                version=table.configuration.version if table else 0,
                service='',
                server='',
                key=None,
                status=error.status,
                sends=0,
                seconds=round(seconds, 4),
                time_left=0,
                cause=error.detail,
            ),
        )

    async def _refuse(self, reply: Reply, head: h11.Request | None) -> None:
        """Reject a request that can't be read and discard further input.

        Closing a connection with unread bytes resets it, and the caller might
        lose the answer.
        """
        headers = [
            *reply.headers,
            (b'content-length', str(len(reply.body)).encode()),
            (b'connection', b'close'),
        ]
        is_bodiless = head is not None and head.method == b'HEAD'
        with trio.move_on_after(_WRITE_TIMEOUT_SECONDS):
            await self._http.send(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=b'' if is_bodiless else reply.body),
                h11.EndOfMessage(),
            )
            await self._stream.send_eof()
        with trio.move_on_after(_LINGER_SECONDS):
            await _discard_input(self._stream)


async def _discard_input(stream: trio.SocketStream) -> None:
    chunk = await stream.receive_some(_RECEIVE_BYTES)
    while chunk:
        chunk = await stream.receive_some(_RECEIVE_BYTES)
