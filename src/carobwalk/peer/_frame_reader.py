"""Framing of a byte stream by length prefixes."""

from typing import Final

import trio

from carobwalk.peer._exceptions import FrameError, PeerLostError

LENGTH_PREFIX_BYTES: Final = 4
CONNECTION_LOST_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_MAX_RECEIVE_BYTES: Final = 262_144
_MAX_FRAME_BYTES: Final = 4_194_304


class FrameReader:
    """Reads frames, each preceded by its length in bytes.

    Args:
        stream: Connected stream.
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.received_bytes = 0
        self._stream = stream
        self._buffer = bytearray()

    async def receive(self) -> bytes:
        """Return the encoded content of the next frame.

        Raises:
            PeerLostError: If the connection is lost or closed.
            FrameError: If the length exceeds the limit.
        """
        size = int.from_bytes(
            await self._read_exactly(LENGTH_PREFIX_BYTES), 'little'
        )
        if size > _MAX_FRAME_BYTES:
            raise FrameError(f'frame of {size} bytes exceeds the limit')
        return await self._read_exactly(size)

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            self._buffer += await self._receive_some()
        content = bytes(self._buffer[:size])
        del self._buffer[:size]
        return content

    async def _receive_some(self) -> bytes:
        try:
            chunk = await self._stream.receive_some(_MAX_RECEIVE_BYTES)
        except CONNECTION_LOST_ERRORS as error:
            raise PeerLostError('peer connection lost') from error
        if not chunk:
            raise PeerLostError('peer connection closed')
        self.received_bytes += len(chunk)
        return bytes(chunk)
