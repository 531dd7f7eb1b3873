"""Receiver that passes an answer on and keeps it for repeats."""

import trio

from carobwalk.dispatch._action_record import KeptAnswer
from carobwalk.model import CallerGoneError, Headers, ReplySink

_KEPT_BYTES = 65_536


class RecordingSink:
    """Passes an answer on while its caller is there, and keeps it.

    Args:
        sink: Receiver of the answer.
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
        """Whether the caller has left."""
        return self._is_detached

    @property
    def answer(self) -> KeptAnswer:
        """The answer; its body only if it is short enough to keep."""
        is_kept = self._received_bytes <= _KEPT_BYTES
        return KeptAnswer(
            status=self._status,
            headers=self._headers,
            body=b''.join(self._chunks) if is_kept else None,
        )

    def detach(self) -> None:
        """Pass nothing more on: the caller has left."""
        self._is_detached = True
        self._scope.cancel()

    async def start(self, status: int, headers: Headers) -> None:
        """Keep the head and pass it on."""
        self._status = status
        self._headers = headers
        if self._is_detached:
            return
        with self._scope:
            await self._sink.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Keep a part of the body and pass it on."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= _KEPT_BYTES:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()
        if self._is_detached:
            return
        try:
            await self._pass_on(chunk)
        except CallerGoneError:
            self._is_detached = True

    async def _pass_on(self, chunk: bytes) -> None:
        self._scope = trio.CancelScope()
        with self._scope:
            await self._sink.write(chunk)
