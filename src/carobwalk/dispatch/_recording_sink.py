"""Sink that stores a response while forwarding it."""

import trio

from carobwalk.dispatch._action_record import StoredResponse
from carobwalk.model import CallerGoneError, Headers, ReplySink

_MAX_STORED_BYTES = 65_536


class RecordingSink:
    """Stores a response and forwards it while the caller is connected.

    Args:
        sink: Receiver of the response.
    """

    def __init__(self, sink: ReplySink) -> None:
        self._sink = sink
        self._scope = trio.CancelScope()
        self._is_detached = False
        self._status = 0
        self._headers: Headers = ()
        self._chunks: list[bytes] = []
        self._received_bytes = 0

    @property
    def is_detached(self) -> bool:
        """Whether the caller has disconnected."""
        return self._is_detached

    @property
    def response(self) -> StoredResponse:
        """The response; with its body only if that is short enough."""
        is_stored = self._received_bytes <= _MAX_STORED_BYTES
        return StoredResponse(
            status=self._status,
            headers=self._headers,
            body=b''.join(self._chunks) if is_stored else None,
        )

    def detach(self) -> None:
        """Stop forwarding because the caller has disconnected."""
        self._is_detached = True
        self._scope.cancel()

    async def start(self, status: int, headers: Headers) -> None:
        """Store and forward status and header fields."""
        self._status = status
        self._headers = headers
        if self._is_detached:
            return
        with self._scope:
            await self._sink.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Store and forward a chunk of the body."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= _MAX_STORED_BYTES:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()
        if self._is_detached:
            return
        try:
            await self._forward(chunk)
        except CallerGoneError:
            self._is_detached = True

    async def _forward(self, chunk: bytes) -> None:
        self._scope = trio.CancelScope()
        with self._scope:
            await self._sink.write(chunk)
