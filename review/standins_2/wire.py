"""HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field

CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, ValueError)


@dataclass
class Message:
    """A request or a response.

    Args:
        first: Words of the first line.
        headers: Header fields by name in lower case.
        body: Complete body.
    """

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, ``None`` at the end of the input."""
    line = await reader.readline()
    if not line:
        return None
    message = Message(line.decode('latin-1').split(None, 2))
    while True:
        line = await reader.readline()
        if not line:
            raise ValueError('the head is cut')
        if line in {b'\r\n', b'\n'}:
            return message
        name, _, text = line.decode('latin-1').partition(':')
        message.headers[name.strip().lower()] = text.strip()


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the head of a message announces."""
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        message.body = await _read_chunks(reader)
        return
    size = int(message.headers.get('content-length', 0))
    message.body = await reader.readexactly(size)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b''.join(chunks)
        chunks.append(chunk)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a complete message, ``None`` at the end of the input."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def encode(first: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first]
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def response(
    status: int, headers: dict[str, object] | None = None, body: bytes = b''
) -> bytes:
    """Return the bytes of a response."""
    return encode(f'HTTP/1.1 {status} Status', headers or {}, body)
