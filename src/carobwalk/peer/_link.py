"""Framed, ordered exchange of frames over one stream."""

from typing import Final

import trio

from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._frame_reader import (
    LENGTH_BYTES,
    LOST,
    FrameReader,
)
from carobwalk.peer._stamp_source import StampSource
from carobwalk.peer.codec import decode_frame, encode_frame
from carobwalk.peer.frames import Body, Frame

_PENDING_LIMIT_BYTES: Final = 1_048_576


class Link:
    """Sends and receives frames.

    One task writes, so that cancelling a sender never leaves a part of a
    frame on the wire; frames that wait are joined into one write.

    Args:
        stream: Connected stream.
        clock: Logical clock of this process.
    """

    def __init__(self, stream: trio.abc.Stream, clock: StampSource) -> None:
        self.sent_bytes = 0
        self._stream = stream
        self._clock = clock
        self._reader = FrameReader(stream)
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._room = trio.Condition()
        self._is_closed = False

    @property
    def received_bytes(self) -> int:
        """Bytes received so far."""
        return self._reader.received_bytes

    async def send(self, exchange: int, body: Body) -> None:
        """Queue one frame for the writer; waits while the queue is full.

        Raises:
            PeerLostError: If the connection is lost.
        """
        async with self._room:
            while self._pending_bytes > _PENDING_LIMIT_BYTES:
                self._check_open()
                await self._room.wait()
            self._check_open()
            self._push(exchange, body)
            self._room.notify_all()

    async def send_if_open(self, exchange: int, body: Body) -> None:
        """Queue one frame, or drop it where the connection is lost."""
        try:
            await self.send(exchange, body)
        except PeerLostError:
            return

    async def run_writer(self) -> None:
        """Write queued frames until the connection is lost."""
        while not self._is_closed:
            joined = await self._next_batch()
            try:
                await self._stream.send_all(joined)
            except LOST:
                await self.close()
            self.sent_bytes += len(joined)

    async def receive(self) -> Frame:
        """Return the next frame.

        Raises:
            PeerLostError: If the connection is lost or closed.
            FrameError: If the other side breaks the protocol.
        """
        frame = decode_frame(await self._reader.receive())
        self._clock.observe(frame.stamp)
        return frame

    async def close(self) -> None:
        """Close the stream at once and wake all that wait."""
        self._is_closed = True
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
            async with self._room:
                self._room.notify_all()

    def _push(self, exchange: int, body: Body) -> None:
        encoded = encode_frame(Frame(exchange, self._clock.stamp(), body))
        length = len(encoded).to_bytes(LENGTH_BYTES, 'little')
        self._pending += (length, encoded)
        self._pending_bytes += len(encoded)

    def _check_open(self) -> None:
        if self._is_closed:
            raise PeerLostError('peer connection closed')

    async def _next_batch(self) -> bytes:
        async with self._room:
            while not self._pending and not self._is_closed:
                await self._room.wait()
            joined = b''.join(self._pending)
            self._pending.clear()
            self._pending_bytes = 0
            self._room.notify_all()
            return joined
