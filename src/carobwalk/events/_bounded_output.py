"""Buffered output of lines that never blocks on its reader."""

import os
from collections import deque
from typing import Final

import trio

_MAX_BUFFERED_BYTES: Final = 1_048_576
_MAX_WRITE_BYTES: Final = 65_536
_FLUSH_INTERVAL_SECONDS: Final = 0.05
_STDOUT_DESCRIPTOR: Final = 1


class BoundedOutput:
    """Buffers lines until the reader accepts them; drops lines when full.

    Args:
        descriptor: File descriptor to write to; set to non-blocking.
        max_buffered_bytes: Size of the buffer; lines that exceed it are
            dropped.
    """

    def __init__(
        self,
        descriptor: int = _STDOUT_DESCRIPTOR,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
    ) -> None:
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full.

        Args:
            line: Text with its line break.
        """
        chunk = line.encode()
        if self._buffered_bytes + len(chunk) > self._max_buffered_bytes:
            self.dropped_lines += 1
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)

    async def run(self) -> None:
        """Flush at intervals until cancelled, then once more."""
        try:
            while True:
                await trio.sleep(_FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the reader accepts now."""
        while self._chunks:
            batch = self._next_batch()
            try:
                written = os.write(self._descriptor, batch)
            except OSError:
                written = 0  # The reader is slow or has exited; keep the lines.
            remaining = batch[written:]
            if remaining:
                self._chunks.appendleft(remaining)
                self._buffered_bytes += len(remaining)
                return

    def _next_batch(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._chunks and size < _MAX_WRITE_BYTES:
            parts.append(self._chunks.popleft())
            size += len(parts[-1])
        self._buffered_bytes -= size
        return b''.join(parts)
