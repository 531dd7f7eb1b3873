"""Writing of the answers to failed requests."""

from typing import Final

import h11
import trio

from carobwalk.entry._failure_reply import (
    encode_failure,
    failure_headers,
    status_of,
)
from carobwalk.http import H11Stream
from carobwalk.model import Failure

_LINGER_SECONDS: Final = 1.0
_LINGER_BYTES: Final = 1_048_576
_RECEIVE_BYTES: Final = 65_536


class RefusalWriter:
    """Answers failed requests on a caller's connection.

    Args:
        connection: The caller's connection.
        stall_seconds: Longest wait for the caller to take the answer.
    """

    def __init__(self, connection: H11Stream, stall_seconds: float) -> None:
        self._connection = connection
        self._stall_seconds = stall_seconds

    async def send(self, failure: Failure, request_id: str) -> None:
        """Answer a failed request; the connection closes if a body is left.

        Args:
            failure: What the caller is told.
            request_id: Identity of the request; empty if it has none.
        """
        protocol = self._connection.protocol
        if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        body = encode_failure(failure, request_id)
        headers = list(failure_headers(failure, request_id, len(body)))
        is_whole = protocol.their_state is h11.DONE
        if not is_whole:
            headers.append((b'connection', b'close'))
        with trio.move_on_after(self._stall_seconds):
            await self._connection.send(
                h11.Response(status_code=status_of(failure), headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
        if not is_whole:
            await self._linger()

    async def _linger(self) -> None:
        """Read on for a while, so that the answer is not lost to a reset."""
        left = _LINGER_BYTES
        stream = self._connection.stream
        with trio.move_on_after(_LINGER_SECONDS):
            if isinstance(stream, trio.SocketStream):
                await stream.send_eof()
            while left > 0:
                chunk = await stream.receive_some(_RECEIVE_BYTES)
                left -= len(chunk) or _LINGER_BYTES
