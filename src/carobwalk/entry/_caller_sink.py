"""Receiver of an answer on the caller's connection."""

from typing import Final

import h11
import trio

from carobwalk.entry import _headers
from carobwalk.http import H11Stream
from carobwalk.model import CallerGoneError, Headers, Outcome, RequestId

_GONE: Final = (
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class CallerSink:
    """Writes an answer to the caller's connection.

    The end of the answer is written by ``finish`` only, so that an answer
    that was cut off is never complete to the caller. The head leaves together
    with the first part of the body, or with the end.

    Args:
        connection: The caller's connection.
        request_id: Identity of the request, told to the caller.
        stall_seconds: Longest wait for the caller to take a part.
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
        """Take the status and the header fields; they leave with the body."""
        fields = [
            *_headers.pass_reply_headers(headers),
            (_headers.OUTCOME, Outcome.COMPLETE.encode()),
            (_headers.REQUEST_ID, self._request_id.encode()),
        ]
        self._head = h11.Response(status_code=status, headers=fields)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body.

        Raises:
            CallerGoneError: If the caller went away or takes nothing.
        """
        await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Write the end of a complete answer.

        Raises:
            CallerGoneError: If the caller went away.
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
        except _GONE as error:
            raise CallerGoneError('the caller takes no answer') from error
