"""Reply sink that writes to the caller's connection."""

from typing import Final

import h11
import trio

from carobwalk.entry import _headers
from carobwalk.http import H11Stream
from carobwalk.model import CallerGoneError, Headers, Outcome, RequestId

_DISCONNECT_ERRORS: Final = (
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class CallerSink:
    """Writes a response to the caller's connection.

    Only ``finish`` writes the end of the message, so a truncated response
    never looks complete to the caller. The head is sent together with the
    first chunk of the body, or with the end of an empty one.

    Args:
        connection: The caller's connection.
        request_id: Request id, sent in a response header.
        stall_seconds: Timeout for a single write.
    """

    __slots__ = (
        '_connection',
        '_head',
        '_request_id',
        '_stall_seconds',
        'is_started',
    )

    def __init__(
        self,
        connection: H11Stream,
        request_id: RequestId,
        stall_seconds: float,
    ) -> None:
        self.is_started = False
        self._head: h11.Response | None = None
        self._connection = connection
        self._request_id = request_id
        self._stall_seconds = stall_seconds

    async def start(self, status: int, headers: Headers) -> None:
        """Set the status and header fields; nothing is sent yet."""
        fields = [
            *_headers.filter_response_headers(headers),
            (_headers.OUTCOME, Outcome.COMPLETE.encode()),
            (_headers.REQUEST_ID, self._request_id.encode()),
        ]
        self._head = h11.Response(status_code=status, headers=fields)

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body.

        Raises:
            CallerGoneError: If the caller disconnected or the write timed
                out.
        """
        await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Write the end of a complete response.

        Raises:
            CallerGoneError: If the caller disconnected or the write timed
                out.
        """
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        events = (event,) if self._head is None else (self._head, event)
        self._head = None
        self.is_started = True
        encoded = self._connection.encode(*events)
        if not encoded:
            return
        try:
            with trio.fail_after(self._stall_seconds):
                await self._connection.stream.send_all(encoded)
        except _DISCONNECT_ERRORS as error:
            raise CallerGoneError(
                'the caller disconnected or did not read the response',
            ) from error
