"""An h11 connection on a trio stream."""

from collections.abc import Callable
from typing import Final

import h11
import trio

_RECEIVE_BYTES: Final = 65_536


class H11Stream:
    """Sends and receives h11 events on a byte stream.

    Args:
        stream: Connected stream.
        role: ``h11.SERVER`` or ``h11.CLIENT``.
        header_bytes: Maximum size of a message head in bytes.

    Attributes:
        received_bytes: Bytes received so far.
        parsed_bytes: Bytes received so far without those of the last read,
            which may not have been parsed yet.
        received_at: Time of the last read, on the event loop's clock.
        is_ended: Whether the peer has ended its output.
        on_receive: Called after each read, if set.
    """

    __slots__ = (
        '_header_bytes',
        '_role',
        'is_ended',
        'on_receive',
        'parsed_bytes',
        'protocol',
        'received_at',
        'received_bytes',
        'stream',
    )

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: type[h11.SERVER] | type[h11.CLIENT],
        header_bytes: int = _RECEIVE_BYTES,
    ) -> None:
        self.stream = stream
        self._role = role
        self._header_bytes = header_bytes
        self.received_at: float = 0
        self.is_ended = False
        self.received_bytes = 0
        self.parsed_bytes = 0
        self.on_receive: Callable[[], None] | None = None
        self.protocol = self._make_protocol()

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event, reading from the stream when needed.

        Raises:
            h11.RemoteProtocolError: If the peer violates the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        while True:
            event = self.protocol.next_event()
            if event is h11.PAUSED or isinstance(event, h11.Event):
                return event
            chunk = await self.stream.receive_some(_RECEIVE_BYTES)
            self.feed(bytes(chunk))

    def feed(self, chunk: bytes) -> None:
        """Pass bytes that were read from the stream to the parser.

        Args:
            chunk: The bytes, empty at the end of the peer's output.
        """
        self.parsed_bytes = self.received_bytes
        self.received_bytes += len(chunk)
        self.received_at = trio.current_time()
        self.is_ended = not chunk
        if self.on_receive is not None:
            self.on_receive()
        self.protocol.receive_data(chunk)

    def start_next_message(self) -> bool:
        """Prepare to parse the message behind one that was parsed completely.

        Returns:
            Whether the parser was replaced, because its own message of the
            exchange has not been sent yet. The former parser then has to be
            replaced for sending as well.
        """
        if self.is_reusable:
            self.protocol.start_next_cycle()
            return False
        rest, _ = self.protocol.trailing_data
        self.protocol = self._make_protocol()
        if rest:
            self.protocol.receive_data(rest)
        return True

    def encode(self, *events: h11.Event) -> bytes:
        """Return the encoded events, to be sent in the order of the calls."""
        parts = [self.protocol.send(event) or b'' for event in events]
        return b''.join(parts)

    async def send(self, *events: h11.Event) -> None:
        """Write events with a single call of the stream.

        Raises:
            trio.BrokenResourceError: If the connection is lost.
        """
        encoded = self.encode(*events)
        if encoded:
            await self.stream.send_all(encoded)

    async def read_body(self, limit: int) -> bytes | None:
        """Return the rest of the body, or ``None`` if it exceeds the limit.

        Args:
            limit: Maximum size in bytes.

        Raises:
            h11.RemoteProtocolError: If the message is truncated.
        """
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self.receive()
            if not isinstance(event, h11.Data):
                break
            size += len(event.data)
            if size > limit:
                return None
            chunks.append(bytes(event.data))
        return b''.join(chunks)

    @property
    def is_reusable(self) -> bool:
        """Whether both sides have finished the current exchange."""
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    def _make_protocol(self) -> h11.Connection:
        return h11.Connection(
            self._role,
            max_incomplete_event_size=self._header_bytes,
        )
