"""One request or question on a peer connection."""

import math
from typing import Final

import trio

from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._link import Link
from carobwalk.peer.frames import Body, Chunk, Credit

WINDOW_BYTES: Final = 262_144
_CREDIT_BATCH_BYTES: Final = 65_536


class Exchange:
    """Frames of one correlation id, with flow control of bodies.

    A sender of chunks starts with a window of bytes; the receiver gives
    credit back as its reader takes chunks, so that a slow reader holds up
    only its own exchange.

    Args:
        number: Correlation id.
        link: Connection that carries the exchange.
    """

    def __init__(self, number: int, link: Link) -> None:
        self.number = number
        self._link = link
        self._credit: float = WINDOW_BYTES
        self._credit_event = trio.Event()
        self._taken = 0
        arrivals, inbox = trio.open_memory_channel[Body](math.inf)
        self._arrivals = arrivals
        self._inbox = inbox

    async def send(self, body: Body) -> None:
        """Send one frame.

        Raises:
            PeerLostError: If the connection is lost.
        """
        await self._link.send(self.number, body)

    async def send_chunk(self, content: bytes) -> None:
        """Send a part of a body, waiting for credit.

        Raises:
            PeerLostError: If the connection is lost.
        """
        while self._credit <= 0:
            self._credit_event = trio.Event()
            await self._credit_event.wait()
        self._credit -= len(content)
        await self.send(Chunk(content))

    async def receive(self) -> Body:
        """Return the next frame other than credit.

        Raises:
            PeerLostError: If the connection is lost.
        """
        try:
            return await self._inbox.receive()
        except trio.EndOfChannel:
            raise PeerLostError('peer connection lost') from None

    async def give_credit(self, size: int) -> None:
        """Tell the sender that bytes were taken; small amounts are joined.

        Raises:
            PeerLostError: If the connection is lost.
        """
        self._taken += size
        if self._taken >= _CREDIT_BATCH_BYTES:
            taken = self._taken
            self._taken = 0
            await self.send(Credit(taken))

    def deliver(self, body: Body) -> None:
        """Take a frame that arrived."""
        if isinstance(body, Credit):
            self._credit += body.size
            self._credit_event.set()
            return
        self._arrivals.send_nowait(body)

    def close(self) -> None:
        """Wake all that wait: the connection is lost."""
        self._arrivals.close()
        self._credit = math.inf
        self._credit_event.set()
