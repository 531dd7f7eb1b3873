"""Sending of responses to a caller."""

from http import HTTPStatus
from typing import Final

import h11
import trio

from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller._caller_exchange import CallerExchange
from carobwalk.http import BODILESS_STATUSES

_WRITE_TIMEOUT_SECONDS: Final = 5.0
_LINGER_SECONDS: Final = 0.5
_RECEIVE_BYTES: Final = 65_536
_CLOSE: Final = (b'connection', b'close')
_NO_REPLY: Final = Reply(HTTPStatus.INTERNAL_SERVER_ERROR)


class ResponseWriter:
    """Sends the responses of one connection.

    Args:
        stream: Stream to the caller.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    async def write(self, exchange: CallerExchange, *, is_last: bool) -> bool:
        """Send a response and return whether the connection stays open.

        Args:
            exchange: Request whose response is complete.
            is_last: Whether the connection closes after it.

        Raises:
            trio.TooSlowError: If the caller does not read it in time.
            trio.BrokenResourceError: If the connection is lost.
        """
        reply = exchange.reply or _NO_REPLY
        headers = list(reply.headers)
        is_bodiless = reply.status in BODILESS_STATUSES
        if not is_bodiless:
            length = str(len(reply.body)).encode()
            headers.append((b'content-length', length))
        if is_last:
            headers.append(_CLOSE)
        is_empty = is_bodiless or exchange.method == b'HEAD'
        protocol = exchange.protocol or _answering(exchange.method)
        message = _encode(
            protocol,
            h11.Response(status_code=reply.status, headers=headers),
            h11.Data(data=b'' if is_empty else reply.body),
            h11.EndOfMessage(),
        )
        # While it is sent, the parser may go on to the next request.
        stays_open = not is_last and protocol.our_state is h11.DONE
        with trio.fail_after(_WRITE_TIMEOUT_SECONDS):
            await self._stream.send_all(message)
        return stays_open

    async def linger(self) -> None:
        """End the output and discard further input for a short time.

        Closing a connection with unread bytes resets it, and the caller might
        lose the response.
        """
        with trio.move_on_after(_WRITE_TIMEOUT_SECONDS):
            await self._stream.send_eof()
        with trio.move_on_after(_LINGER_SECONDS):
            await _discard_input(self._stream)


async def _discard_input(stream: trio.SocketStream) -> None:
    chunk = await stream.receive_some(_RECEIVE_BYTES)
    while chunk:
        chunk = await stream.receive_some(_RECEIVE_BYTES)


def _encode(protocol: h11.Connection, *events: h11.Event) -> bytes:
    return b''.join(protocol.send(event) or b'' for event in events)


def _answering(method: bytes) -> h11.Connection:
    """Return a protocol state in which a request awaits its response.

    The parser of a pipelined request is not kept: it holds a copy of the bytes
    that follow the request.
    """
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b'%s / HTTP/1.1\r\nhost: x\r\n\r\n' % method)
    protocol.next_event()
    protocol.next_event()
    return protocol
