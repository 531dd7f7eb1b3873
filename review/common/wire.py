"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

_MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """A request as received by a stand-in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer of a stand-in, or one received by a client."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_last: bool = False

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        fields = {**self.headers, 'Content-Length': str(len(self.body))}
        lines = [f'HTTP/1.1 {self.status} X']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + self.body


def json_answer(status: int, content: object) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(content).encode()
    return Answer(status, {'Content-Type': 'application/json'}, body)


async def _read_headers(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('a cut head') from error
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request of a connection, ``None`` at its end."""
    head = await _read_headers(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(' ', 2)
    return Message(method, target, headers, await _read_body(reader, headers))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a connection."""
    head = await _read_headers(reader)
    if head is None:
        raise ConnectionError('closed without an answer')
    first, headers = head
    body = await _read_body(reader, headers)
    return Answer(int(first.split(' ')[1]), headers, body)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[Answer | None]]


class HttpServer:
    """Serves one request at a time on each connection.

    ``close`` ends the listener and resets all connections, as the end of a
    process does.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Listen at an address and return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=_MAX_HEAD_BYTES, reuse_address=True
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop at once."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await read_message(reader)
            if message is None:
                return
            answer = await self._handler(message, writer)
            if answer is None:
                return
            writer.write(answer.encode())
            await writer.drain()
            if answer.is_last:
                writer.close()
                await writer.wait_closed()
                return
