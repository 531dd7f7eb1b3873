"""Body of a request that is received over a peer connection."""

from carobwalk.model import BodyError
from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._exchange import Exchange
from carobwalk.peer.frames import BodyEnd, Chunk


class ExchangeBody:
    """Reads the body of a request from the chunks of an exchange.

    Args:
        exchange: Exchange of the request.
        is_empty: Whether the head declared an empty body, without chunks.
    """

    __slots__ = ('_exchange', '_is_ended')

    def __init__(self, exchange: Exchange, *, is_empty: bool) -> None:
        self._exchange = exchange
        self._is_ended = is_empty

    async def receive(self) -> bytes:
        """Return the next chunk, ``b''`` at the end.

        Raises:
            BodyError: If the caller disconnected or the connection was lost.
        """
        if self._is_ended:
            return b''
        try:
            return await self._next_chunk()
        except PeerLostError as error:
            raise BodyError('peer connection lost') from error

    async def _next_chunk(self) -> bytes:
        frame = await self._exchange.receive()
        if isinstance(frame, Chunk):
            await self._exchange.return_credit(len(frame.content))
            return frame.content
        self._is_ended = True
        if isinstance(frame, BodyEnd):
            return b''
        raise BodyError('the caller went away before the end of its body')
