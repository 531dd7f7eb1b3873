"""Ordered transport of frames over one stream."""

from typing import Final

import trio

from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._frame_reader import (
    CONNECTION_LOST_ERRORS,
    LENGTH_PREFIX_BYTES,
    FrameReader,
)
from carobwalk.peer._logical_clock import LogicalClock
from carobwalk.peer.codec import decode_frame, encode_frame
from carobwalk.peer.frames import Body, Frame

_MAX_PENDING_BYTES: Final = 1_048_576


class Link:
    """Sends and receives frames.

    A single task writes, so that cancelling a sender never leaves a partial
    frame on the wire. Queued frames are batched into one write.

    Args:
        stream: Connected stream; closed by ``close``.
        clock: Logical clock of this process.
    """

    def __init__(self, stream: trio.abc.Stream, clock: LogicalClock) -> None:
        self.sent_bytes = 0
        self._stream = stream
        self._clock = clock
        self._reader = FrameReader(stream)
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._queue_changed = trio.Condition()
        self._is_closed = False

    @property
    def received_bytes(self) -> int:
        """Bytes received so far."""
        return self._reader.received_bytes

    async def send(self, exchange: int, body: Body) -> None:
        """Queue one frame for the writer; wait while the queue is full.

        Raises:
            PeerLostError: If the connection is lost.
        """
        async with self._queue_changed:
            while self._pending_bytes > _MAX_PENDING_BYTES:
                self._check_open()
                await self._queue_changed.wait()
            self._check_open()
            self._enqueue(exchange, body)
            self._queue_changed.notify_all()

    async def send_if_open(self, exchange: int, body: Body) -> None:
        """Queue one frame, or drop it if the connection is lost."""
        try:
            await self.send(exchange, body)
        except PeerLostError:
            return

    async def run_writer(self) -> None:
        """Write queued frames until the connection is lost."""
        while not self._is_closed:
            batch = await self._next_batch()
            try:
                await self._stream.send_all(batch)
            except CONNECTION_LOST_ERRORS:
                await self.close()
            self.sent_bytes += len(batch)

    async def receive(self) -> Frame:
        """Return the next frame.

        Raises:
            PeerLostError: If the connection is lost or closed.
            FrameError: If the peer violates the protocol.
        """
        frame = decode_frame(await self._reader.receive())
        self._clock.observe(frame.stamp)
        return frame

    async def close(self) -> None:
        """Close the stream at once and wake all waiting tasks."""
        self._is_closed = True
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
            async with self._queue_changed:
                self._queue_changed.notify_all()

    def _enqueue(self, exchange: int, body: Body) -> None:
        encoded = encode_frame(Frame(exchange, self._clock.stamp(), body))
        length = len(encoded).to_bytes(LENGTH_PREFIX_BYTES, 'little')
        self._pending += (length, encoded)
        self._pending_bytes += len(encoded)

    def _check_open(self) -> None:
        if self._is_closed:
            raise PeerLostError('peer connection closed')

    async def _next_batch(self) -> bytes:
        async with self._queue_changed:
            while not self._pending and not self._is_closed:
                await self._queue_changed.wait()
            batch = b''.join(self._pending)
            self._pending.clear()
            self._pending_bytes = 0
            self._queue_changed.notify_all()
            return batch
