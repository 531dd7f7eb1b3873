"""Request body that can be replayed for a retry."""

from carobwalk.dispatch._request_identity import PREFIX_BYTES
from carobwalk.model import BodySource

_REPLAY_BYTES = 65_536


class ReplayBody:
    """Buffers a request body for replay, up to a size limit.

    Args:
        source: The original body.
        limit: Maximum bytes buffered for a second send; a longer body
            cannot be rewound.
    """

    def __init__(self, source: BodySource, limit: int = _REPLAY_BYTES) -> None:
        self._source = source
        self._limit = limit
        self._kept: list[bytes] = []
        self._read_bytes = 0
        self._position = 0
        self._ended = False
        self._start = b''

    @property
    def can_rewind(self) -> bool:
        """Whether the body can be read from its start again."""
        return self._read_bytes <= self._limit

    @property
    def is_whole(self) -> bool:
        """Whether the original body was read to its end."""
        return self._ended

    @property
    def start(self) -> bytes:
        """The first bytes read so far, which identify the request."""
        return self._start

    def rewind(self) -> None:
        """Go back to the start of the body."""
        self._position = 0

    async def receive(self) -> bytes:
        """Return the next chunk, or ``b''`` at the end.

        Raises:
            BodyError: If the caller disconnected before the end of the body.
        """
        if self._position < len(self._kept):
            chunk = self._kept[self._position]
            self._position += 1
            return chunk
        chunk = await self._read()
        if self.can_rewind and chunk:
            self._kept.append(chunk)
            self._position += 1
        elif not self.can_rewind:
            self._kept.clear()
            self._position = 0
        return chunk

    async def prefix(self, length: int) -> bytes:
        """Return the first bytes of the body without consuming them.

        Args:
            length: Number of bytes, at most `PREFIX_BYTES`; fewer are
                returned if the body is shorter.

        Raises:
            BodyError: If the caller disconnected before the end of the body.
        """
        while self._read_bytes < length and not self._ended:
            chunk = await self._read()
            if chunk:
                self._kept.append(chunk)
        return self._start[:length]

    async def _read(self) -> bytes:
        if self._ended:
            return b''
        chunk = await self._source.receive()
        self._read_bytes += len(chunk)
        self._ended = not chunk
        if len(self._start) < PREFIX_BYTES:
            self._start = (self._start + chunk)[:PREFIX_BYTES]
        return chunk
