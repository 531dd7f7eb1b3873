"""Output of lines that never waits for its reader."""

import os
from collections import deque
from typing import Final

import trio

_MOST_BYTES: Final = 1_048_576
_WRITE_BYTES: Final = 65_536
_PAUSE_SECONDS: Final = 0.05
_STDOUT: Final = 1


class BoundedOutput:
    """Keeps lines until the reader takes them, and drops what is too much.

    Args:
        descriptor: File descriptor that is written to.
        most_bytes: Bytes that are kept; the lines beyond are dropped.
    """

    def __init__(
        self,
        descriptor: int = _STDOUT,
        most_bytes: int = _MOST_BYTES,
    ) -> None:
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._chunks: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Take a line; it is dropped if too many are kept already."""
        chunk = line.encode()
        if self._size + len(chunk) > self._most_bytes:
            self.dropped += 1
            return
        self._chunks.append(chunk)
        self._size += len(chunk)

    async def run(self) -> None:
        """Write until cancelled, then once more."""
        try:
            while True:
                await trio.sleep(_PAUSE_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes without a wait."""
        while self._chunks:
            piece = self._take_piece()
            try:
                written = os.write(self._descriptor, piece)
            except OSError:
                written = 0  # The reader is slow or gone; lines are kept.
            rest = piece[written:]
            if rest:
                self._chunks.appendleft(rest)
                self._size += len(rest)
                return

    def _take_piece(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._chunks and size < _WRITE_BYTES:
            parts.append(self._chunks.popleft())
            size += len(parts[-1])
        self._size -= size
        return b''.join(parts)
