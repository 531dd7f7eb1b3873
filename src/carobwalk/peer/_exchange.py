"""One request or control message on a peer connection."""

import math
from typing import Final

import trio

from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._link import Link
from carobwalk.peer.frames import Body, Chunk, Credit

WINDOW_BYTES: Final = 262_144
_CREDIT_BATCH_BYTES: Final = 65_536


class Exchange:
    """Sends and receives the frames of one correlation id.

    Bodies are flow-controlled by credit: a sender of chunks starts with a
    window of bytes, and the receiver returns credit as its reader consumes
    chunks, so that a slow reader blocks only its own exchange.

    Args:
        number: Correlation id, unique on the connection.
        link: Connection that carries the exchange.
    """

    def __init__(self, number: int, link: Link) -> None:
        self.number = number
        self._link = link
        self._credit_bytes: float = WINDOW_BYTES
        self._credit_returned = trio.Event()
        self._consumed_bytes = 0
        frame_sender, frame_receiver = trio.open_memory_channel[Body](math.inf)
        self._frame_sender = frame_sender
        self._frame_receiver = frame_receiver

    async def send(self, body: Body) -> None:
        """Send one frame.

        Raises:
            PeerLostError: If the connection is lost.
        """
        await self._link.send(self.number, body)

    async def send_chunk(self, content: bytes) -> None:
        """Send a part of a body as soon as there is credit.

        Raises:
            PeerLostError: If the connection is lost.
        """
        while self._credit_bytes <= 0:
            self._credit_returned = trio.Event()
            await self._credit_returned.wait()
        self._credit_bytes -= len(content)
        await self.send(Chunk(content))

    async def receive(self) -> Body:
        """Return the next frame other than ``Credit``.

        Raises:
            PeerLostError: If the connection is lost.
        """
        try:
            return await self._frame_receiver.receive()
        except trio.EndOfChannel:
            raise PeerLostError('peer connection lost') from None

    async def return_credit(self, size: int) -> None:
        """Return credit for consumed bytes; small amounts are batched.

        Raises:
            PeerLostError: If the connection is lost.
        """
        self._consumed_bytes += size
        if self._consumed_bytes >= _CREDIT_BATCH_BYTES:
            consumed_bytes = self._consumed_bytes
            self._consumed_bytes = 0
            await self.send(Credit(consumed_bytes))

    def deliver(self, body: Body) -> None:
        """Process a frame that arrived for this exchange."""
        if isinstance(body, Credit):
            self._credit_bytes += body.size
            self._credit_returned.set()
            return
        self._frame_sender.send_nowait(body)

    def close(self) -> None:
        """Wake all waiting tasks, since the connection is lost."""
        self._frame_sender.close()
        self._credit_bytes = math.inf
        self._credit_returned.set()
