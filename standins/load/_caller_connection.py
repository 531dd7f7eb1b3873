"""Connection of a caller to an entry."""

import h11
import trio

from carobwalk.http import H11Stream
from carobwalk.model import Address
from standins.load._answer import Answer, parse_head
from standins.load._task import LoadTask

CHUNK_BYTES = 65_536


class CallerConnection:
    """Sends requests sequentially over one connection.

    Args:
        connection: Open connection.
    """

    def __init__(self, connection: H11Stream) -> None:
        self._connection = connection

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent."""
        return self._connection.is_reusable

    async def exchange(self, task: LoadTask) -> Answer | None:
        """Send a request and return its response, ``None`` if there is none.

        A complete response may arrive before the request was fully sent.
        """
        if self._connection.is_reusable:
            self._connection.protocol.start_next_cycle()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, task)
            answer = await self._read()
            if answer is None or answer.is_whole:
                nursery.cancel_scope.cancel()
        return answer

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._connection.stream)

    async def _send(self, task: LoadTask) -> None:
        try:
            await self._send_request(task)
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            return  # The reader detects how the connection ended.

    async def _send_request(self, task: LoadTask) -> None:
        chunk = bytes(CHUNK_BYTES)
        await self._connection.send(_make_head(task))
        for _ in range(task.body_bytes // CHUNK_BYTES):
            await self._connection.send(h11.Data(data=chunk))
        last_chunk = chunk[: task.body_bytes % CHUNK_BYTES]
        await self._connection.send(
            h11.Data(data=last_chunk), h11.EndOfMessage()
        )

    async def _read(self) -> Answer | None:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            return None
        answer = parse_head(head)
        event = await self._next_event()
        while isinstance(event, h11.Data):
            answer.feed(bytes(event.data))
            event = await self._next_event()
        answer.is_whole = isinstance(event, h11.EndOfMessage)
        return answer

    async def _next_event(self) -> object:
        """Return the next event, ``None`` if the connection failed."""
        try:
            return await self._connection.receive()
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return None


async def open_connection(entry: Address) -> CallerConnection:
    """Connect to an entry.

    Raises:
        OSError: If the entry can't be reached.
    """
    stream = await trio.open_tcp_stream(entry.host, entry.port)
    return CallerConnection(H11Stream(stream, h11.CLIENT))


def _make_head(task: LoadTask) -> h11.Request:
    headers = [
        ('host', str(task.entry)),
        ('content-length', str(task.body_bytes)),
        ('standin-mark', task.mark),
    ]
    if task.idempotency_key is not None:
        headers.append(('idempotency-key', task.idempotency_key))
    return h11.Request(
        method=task.method,
        target=task.target,
        headers=headers,
    )
