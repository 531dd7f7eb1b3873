"""HTTP/1.1 connection to a backend server."""

import h11
import trio

_READ_BYTES = 65_536

ResponseEvent = (
    h11.Response
    | h11.InformationalResponse
    | h11.Data
    | h11.EndOfMessage
    | h11.ConnectionClosed
)


class H11Connection:
    """An open connection that carries one request at a time.

    Args:
        stream: The TCP connection.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def is_fresh(self) -> bool:
        """Whether the server has neither closed nor written to it.

        Only such a connection may be used for another request.
        """
        return not self._stream.socket.is_readable()

    @property
    def is_reusable(self) -> bool:
        """Whether the last request and response are both complete.

        Bytes after a response would be parsed as the next response.
        """
        stray, _ = self._protocol.trailing_data
        states = (self._protocol.our_state, self._protocol.their_state)
        return not stray and states in {
            (h11.DONE, h11.DONE),
            (h11.IDLE, h11.IDLE),
        }

    def reset(self) -> None:
        """Prepare the connection for its next request."""
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()

    async def send_first(self, head: h11.Request) -> bytes:
        """Write the first part of the request head.

        Args:
            head: The head.

        Returns:
            The unwritten bytes, to be passed to `send_rest`.

        Raises:
            OSError: If nothing was written.
        """
        text = self._protocol.send(head) or b''
        written = await self._stream.socket.send(text)
        return text[written:]

    async def send_rest(self, text: bytes) -> None:
        """Write bytes that h11 has encoded.

        Raises:
            trio.BrokenResourceError: If the connection is lost.
        """
        if text:
            await self._stream.send_all(text)

    async def send(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Encode and write an event of the request body.

        Raises:
            h11.LocalProtocolError: If the body differs from its stated length.
            trio.BrokenResourceError: If the connection is lost.
        """
        await self.send_rest(self._protocol.send(event) or b'')

    async def receive(self) -> ResponseEvent:
        """Return the next event of the response.

        Raises:
            h11.RemoteProtocolError: If the response is incomplete or violates
                the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        while True:
            event = self._protocol.next_event()
            if isinstance(event, ResponseEvent):
                return event
            chunk = await self._stream.receive_some(_READ_BYTES)
            self._protocol.receive_data(chunk)

    async def aclose(self) -> None:
        """Close the connection immediately."""
        await trio.aclose_forcefully(self._stream)
