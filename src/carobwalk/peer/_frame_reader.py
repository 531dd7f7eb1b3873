"""Division of a byte stream into frames."""

from typing import Final

import trio

from carobwalk.peer._exceptions import FrameError, PeerLostError

LENGTH_BYTES: Final = 4
LOST: Final = (trio.BrokenResourceError, trio.ClosedResourceError)

_RECEIVE_BYTES: Final = 262_144
_FRAME_LIMIT_BYTES: Final = 4_194_304


class FrameReader:
    """Reads frames, each preceded by its length.

    Args:
        stream: Connected stream.
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.received_bytes = 0
        self._stream = stream
        self._received = bytearray()

    async def receive(self) -> bytes:
        """Return the encoded content of the next frame.

        Raises:
            PeerLostError: If the connection is lost or closed.
            FrameError: If the length is over the limit.
        """
        size = int.from_bytes(await self._take(LENGTH_BYTES), 'little')
        if size > _FRAME_LIMIT_BYTES:
            raise FrameError(f'frame of {size} bytes is over the limit')
        return await self._take(size)

    async def _take(self, size: int) -> bytes:
        while len(self._received) < size:
            self._received += await self._receive_some()
        taken = bytes(self._received[:size])
        del self._received[:size]
        return taken

    async def _receive_some(self) -> bytes:
        try:
            chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        except LOST as error:
            raise PeerLostError('peer connection lost') from error
        if not chunk:
            raise PeerLostError('peer connection closed')
        self.received_bytes += len(chunk)
        return bytes(chunk)
