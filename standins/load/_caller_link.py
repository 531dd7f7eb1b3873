"""A caller's connection to an entry."""

import h11
import trio

from carobwalk.http import H11Stream
from carobwalk.model import Address
from standins.load._answer import Answer, start_answer
from standins.load._task import LoadTask

PART_BYTES = 65_536


class CallerLink:
    """Sends requests one after another over one connection.

    Args:
        connection: Open connection.
    """

    def __init__(self, connection: H11Stream) -> None:
        self._connection = connection

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._connection.is_reusable

    async def ask(self, task: LoadTask) -> Answer | None:
        """Send a request and read its answer, ``None`` if none came.

        The answer may come, and be whole, before the request was sent whole.
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
            await self._send_parts(task)
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            return  # The reader sees how the connection ended.

    async def _send_parts(self, task: LoadTask) -> None:
        part = bytes(PART_BYTES)
        await self._connection.send(_make_head(task))
        for _ in range(task.body_bytes // PART_BYTES):
            await self._connection.send(h11.Data(data=part))
        rest = part[: task.body_bytes % PART_BYTES]
        await self._connection.send(h11.Data(data=rest), h11.EndOfMessage())

    async def _read(self) -> Answer | None:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            return None
        answer = start_answer(head)
        event = await self._next_event()
        while isinstance(event, h11.Data):
            answer.feed(bytes(event.data))
            event = await self._next_event()
        answer.is_whole = isinstance(event, h11.EndOfMessage)
        return answer

    async def _next_event(self) -> object:
        """Return the next event, ``None`` if the connection broke."""
        try:
            return await self._connection.receive()
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return None


async def open_link(entry: Address) -> CallerLink:
    """Connect to an entry.

    Raises:
        OSError: If the entry can't be reached.
    """
    stream = await trio.open_tcp_stream(entry.host, entry.port)
    return CallerLink(H11Stream(stream, h11.CLIENT))


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
