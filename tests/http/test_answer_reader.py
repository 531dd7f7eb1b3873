"""Tests of the bounded reading of answers."""

import h11
import pytest
import trio
from trio.testing import memory_stream_pair

from carobwalk.http import (
    AnswerReader,
    AnswerTooLong,
    H11Stream,
    JoinedHeads,
)

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


def _read_head(head: bytes) -> h11.Response | None:
    """Return the head of the final answer in a message."""
    heads: list[h11.Response | None] = []

    async def main() -> None:
        client, server = memory_stream_pair()
        http = H11Stream(client, h11.CLIENT)
        await http.send(_REQUEST, h11.EndOfMessage())
        await server.send_all(head)
        await server.send_eof()
        heads.append(await AnswerReader(http, _MAX_BODY_BYTES).read_head())

    trio.run(main)
    return heads[0]


class TestHead:
    @pytest.mark.parametrize(
        'start',
        [
            b'HTTP/1.1 503 ',
            b'HTTP/1.1 503 Serv',
            b'HTTP/1.1 503 Full\r\nNot-Executed:',
            b'HTTP/1.1 503 Full\r\nDate: Fri\r\n ',
            b'HTTP/1.1 103 Early Hints\r\nLink: <',
        ],
    )
    @pytest.mark.parametrize('status', [b'200 OK', b'200'])
    def test_joined(self, start: bytes, status: bytes) -> None:
        """A head with the status line of the next answer is rejected."""
        # Guards against the status of one answer with the body of another.
        head = b'%sHTTP/1.1 %s\r\ncontent-length: 0\r\n\r\n'
        with pytest.raises(JoinedHeads):
            _read_head(head % (start, status))

    @pytest.mark.parametrize(
        'text', [b'HTTP/1.1 127.0.0.1', b'HTTP/1.1 proxy', b'HTTP/2 200']
    )
    def test_version_in_field(self, text: bytes) -> None:
        """A field may name a version of HTTP and a host."""
        head = _read_head(b'HTTP/1.1 200 OK\r\nVia: %s\r\n\r\n' % text)
        assert head is not None
        assert head.status_code == 200


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


class TestStatus:
    @pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
    def test_invalid(self, status: bytes) -> None:
        """A status that is none of a final answer violates the protocol."""
        # Guards against an answer that means nothing counted as one.
        with pytest.raises(h11.RemoteProtocolError):
            _read_head(
                b'HTTP/1.1 %s None\r\ncontent-length: 0\r\n\r\n' % status
            )
