"""Tests of the bounded reading of answers."""

import h11
import pytest
import trio
from trio.testing import memory_stream_pair

from carobwalk.http import AnswerReader, AnswerTooLong, H11Stream

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_MAX_BODY_BYTES = 16_777_216
_REQUEST = h11.Request(method='GET', target='/', headers=[('host', 'x')])


def _read(message: bytes) -> bytes:
    """Return the body of an answer whose head arrives on its own."""
    bodies: list[bytes] = []

    async def main() -> None:
        client, server = memory_stream_pair()
        http = H11Stream(client, h11.CLIENT)
        await http.send(_REQUEST, h11.EndOfMessage())
        reader = AnswerReader(http, _MAX_BODY_BYTES)
        await server.send_all(_HEAD)
        await reader.read_head()
        await server.send_all(message)
        bodies.append(await reader.read_body())

    trio.run(main)
    return bodies[0]


class TestFraming:
    @pytest.mark.parametrize(
        ('chunk_bytes', 'count'),
        [(1, 5000), (128, 60_000), (16_384, 900)],
    )
    def test_complete(self, chunk_bytes: int, count: int) -> None:
        """A complete answer in chunks is read."""
        # Guards against taking bytes that are not parsed yet for framing.
        chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
        body = _read(b'%s0\r\n\r\n' % (chunk * count))
        assert body == b'x' * (chunk_bytes * count)

    @pytest.mark.parametrize(
        'chunk',
        [b'1\r\nx\r\n', b'10\r\n0123456789abcdef\r\n', b'1;x=yyyyyyy\r\nx\r\n'],
    )
    def test_too_much(self, chunk: bytes) -> None:
        """Little is read of an answer that is mostly framing."""
        # Guards against the processor time of endless small chunks.
        with pytest.raises(AnswerTooLong, match='framing'):
            _read(chunk * (300_000 // len(chunk)))
