"""Sink of a response that is sent over a peer connection."""

from carobwalk.model import CallerGoneError, Headers
from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._exchange import Exchange
from carobwalk.peer.frames import ReplyHead


class ExchangeSink:
    """Sends the head and the chunks of a response as frames.

    Args:
        exchange: Exchange of the request.
    """

    __slots__ = ('_exchange',)

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the header fields.

        Raises:
            CallerGoneError: If the connection is lost.
        """
        try:
            await self._exchange.send(ReplyHead(status, headers))
        except PeerLostError as error:
            raise CallerGoneError('peer connection lost') from error

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body as soon as there is credit.

        Raises:
            CallerGoneError: If the connection is lost.
        """
        try:
            await self._exchange.send_chunk(chunk)
        except PeerLostError as error:
            raise CallerGoneError('peer connection lost') from error
