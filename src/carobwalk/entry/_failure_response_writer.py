"""Writer of the responses to failed requests."""

from typing import Final

import h11
import trio

from carobwalk.entry._failure_response import (
    encode_failure,
    failure_headers,
    status_of,
)
from carobwalk.http import H11Stream
from carobwalk.model import Failure

_LINGER_SECONDS: Final = 1.0
_LINGER_BYTES: Final = 1_048_576
_RECEIVE_BYTES: Final = 65_536


class FailureResponseWriter:
    """Writes the responses to failed requests on a caller's connection.

    Args:
        connection: The caller's connection.
        stall_seconds: Timeout for writing the response.
    """

    def __init__(self, connection: H11Stream, stall_seconds: float) -> None:
        self._connection = connection
        self._stall_seconds = stall_seconds

    async def send(self, failure: Failure, request_id: str) -> None:
        """Send the response to a failed request.

        Sends nothing if a response has already been started. If part of the
        request is still unread, the connection is closed afterwards.

        Args:
            failure: Failure to report to the caller.
            request_id: Request id; empty if the request was not classified.
        """
        protocol = self._connection.protocol
        if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        body = encode_failure(failure, request_id)
        headers = list(failure_headers(failure, request_id, len(body)))
        is_request_read = protocol.their_state is h11.DONE
        if not is_request_read:
            headers.append((b'connection', b'close'))
        with trio.move_on_after(self._stall_seconds):
            await self._connection.send(
                h11.Response(status_code=status_of(failure), headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
        if not is_request_read:
            await self._linger()

    async def _linger(self) -> None:
        """Discard unread request bytes for a while before closing.

        Closing a socket with unread input resets the connection, which could
        destroy the response before the caller has read it.
        """
        remaining = _LINGER_BYTES
        stream = self._connection.stream
        with trio.move_on_after(_LINGER_SECONDS):
            if isinstance(stream, trio.SocketStream):
                await stream.send_eof()
            while remaining > 0:
                chunk = await stream.receive_some(_RECEIVE_BYTES)
                remaining -= len(chunk) or _LINGER_BYTES
