"""Tests of the HTTP client with servers whose bytes never end."""

from types import MappingProxyType

import pytest
import trio
from result import Err, Ok, Result
from trio.testing import wait_all_tasks_blocked

from carobwalk.http import (
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    NoAnswer,
)
from carobwalk.model import Address
from tests.http.raw_server import Ending, RawServer, Script

_ANSWER_LIMIT_BYTES = 16_384
# More than what the sockets of both sides buffer.
_FAR_TOO_MUCH_BYTES = 12_000_000
# Only a failure lasts so long.
_TIMEOUT_SECONDS = 20
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_WHOLE = b'HTTP/1.1 200 OK\r\nx-from: s1\r\ncontent-length: 2\r\n\r\nok'
_REQUEST = HttpRequest('POST', '/')

_ENDLESS = MappingProxyType(
    {
        'header lines': Script(
            b'HTTP/1.1 200 OK\r\n', Ending.REPEAT, b'x-more: 1\r\n' * 999
        ),
        'informational': Script(
            b'', Ending.REPEAT, b'HTTP/1.1 103 Early Hints\r\n\r\n' * 99
        ),
        'chunk extensions': Script(
            _CHUNKED_HEAD, Ending.REPEAT, b'1;x=%s\r\nx\r\n' % (b'x' * 9999)
        ),
        'one-byte chunks': Script(
            _CHUNKED_HEAD, Ending.REPEAT, b'1\r\nx\r\n' * 99
        ),
        'body without length': Script(
            b'HTTP/1.1 200 OK\r\n\r\n', Ending.REPEAT, b'x' * 65_536
        ),
        'body of huge length': Script(
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n',
            Ending.REPEAT,
            b'x' * 65_536,
        ),
    }
)

Sent = Result[HttpResponse, HttpFailure]


def _send(
    server: RawServer,
    client: HttpClient,
    count: int = 1,
    timeout: float = _TIMEOUT_SECONDS,
    *,
    is_close_awaited: bool = False,
) -> list[Sent]:
    """Send requests to a server, one after the other."""
    results: list[Sent] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            address = Address('127.0.0.1', server.port)
            for _ in range(count):
                results.append(await client.send(address, _REQUEST, timeout))
                await wait_all_tasks_blocked()
            if is_close_awaited:
                with trio.fail_after(_TIMEOUT_SECONDS):
                    await server.closed.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results


class TestCutHead:
    @pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.RESET])
    def test_every_position(self, ending: Ending) -> None:
        """An answer that is cut after any byte is no answer."""
        # Guards against a cut answer that acknowledges a grant or release.
        for size, _ in enumerate(_WHOLE):
            server = RawServer(Script(_WHOLE[:size], ending))
            sent = _send(server, HttpClient())[0]
            assert isinstance(sent, Err), _WHOLE[:size]
            assert isinstance(sent.err_value, NoAnswer)


class TestEndlessAnswer:
    @pytest.mark.parametrize('name', sorted(_ENDLESS))
    def test_endless(self, name: str) -> None:
        """An answer without end is cut at the limit and is no answer."""
        # Guards against reading an endless answer until the timeout.
        server = RawServer(_ENDLESS[name])
        client = HttpClient(max_answer_bytes=_ANSWER_LIMIT_BYTES)
        sent = _send(server, client, is_close_awaited=True)[0]
        assert isinstance(sent, Err)
        assert isinstance(sent.err_value, NoAnswer)
        assert 'within' not in sent.err_value.detail
        assert len(sent.err_value.detail) < 200
        assert server.sent_bytes < _FAR_TOO_MUCH_BYTES

    def test_long_line(self) -> None:
        """The cause of a failure does not repeat a long line."""
        # Guards against log lines as long as what was received.
        message = b'HTTP/1.1 200 OK\r\n%s\r\n\r\n' % (b'x' * 30_000)
        sent = _send(RawServer(Script(message)), HttpClient())[0]
        assert isinstance(sent, Err)
        assert len(sent.err_value.detail) < 200

    @pytest.mark.parametrize('first', [b'', b'HTTP/1.1 200 OK\r\n\r\n'])
    def test_byte_by_byte(self, first: bytes) -> None:
        """An answer of single bytes without end ends with the timeout."""
        # Guards against a timeout that each received byte starts anew.
        script = Script(first, Ending.REPEAT, b'x', pause_seconds=0.01)
        server = RawServer(script)
        sent = _send(server, HttpClient(), timeout=0.3, is_close_awaited=True)
        assert isinstance(sent[0], Err)
        assert isinstance(sent[0].err_value, NoAnswer)

    @pytest.mark.parametrize(
        ('chunk_bytes', 'count'), [(1, 5000), (128, 60_000)]
    )
    def test_chunked(self, chunk_bytes: int, count: int) -> None:
        """A complete answer in small chunks is received."""
        # Guards against limits that cut complete answers.
        chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
        message = b'%s%s0\r\n\r\n' % (_CHUNKED_HEAD, chunk * count)
        sent = _send(RawServer(Script(message)), HttpClient())[0]
        assert isinstance(sent, Ok)
        assert len(sent.ok_value.body) == count * chunk_bytes

    def test_limit(self) -> None:
        """An answer of just the longest body is received."""
        body = b'x' * _ANSWER_LIMIT_BYTES
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        client = HttpClient(max_answer_bytes=len(body))
        sent = _send(RawServer(Script(head + body)), client)[0]
        assert isinstance(sent, Ok)
        assert sent.ok_value.body == body


class TestBytesAfterAnswer:
    @pytest.mark.parametrize('extra', [b'x', b'\r\n', _WHOLE, _WHOLE * 3])
    def test_extra_bytes(self, extra: bytes) -> None:
        """A connection with bytes after an answer carries no more requests."""
        # Guards against taking such bytes for the answer to the next request.
        unanswered = Script(b'', Ending.CLOSE)
        server = RawServer(Script(_WHOLE + extra), unanswered)
        first, second = _send(server, HttpClient(), count=2)
        assert isinstance(first, Ok)
        assert isinstance(second, Err)
        assert server.connections == 2

    @pytest.mark.parametrize('ending', [Ending.REPEAT, Ending.CLOSE])
    def test_unused_connection(self, ending: Ending) -> None:
        """An idle connection on which bytes arrive is closed without use."""
        # Guards against bytes that fill the buffers of idle connections.
        server = RawServer(Script(_WHOLE, ending, b'x' * 65_536))
        client = HttpClient()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await server.start(nursery)
                address = Address('127.0.0.1', server.port)
                sent = await client.send(address, _REQUEST, _TIMEOUT_SECONDS)
                assert isinstance(sent, Ok)
                await wait_all_tasks_blocked(0.01)
                await client.close_unusable()
                assert client.idle_count == 0
                with trio.fail_after(_TIMEOUT_SECONDS):
                    await server.closed.wait()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_usable_connection(self) -> None:
        """An idle connection without unexpected bytes is kept."""
        server = RawServer(Script(_WHOLE))
        client = HttpClient()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await server.start(nursery)
                address = Address('127.0.0.1', server.port)
                for _ in range(2):
                    await client.send(address, _REQUEST, _TIMEOUT_SECONDS)
                    await wait_all_tasks_blocked()
                    await client.close_unusable()
                    assert client.idle_count == 1
                assert server.connections == 1
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_endless_bytes(self) -> None:
        """A connection with bytes without end after an answer is closed."""
        # Guards against keeping a connection that fills with bytes.
        endless = Script(_WHOLE, Ending.REPEAT, b'x' * 65_536)
        server = RawServer(endless, Script(_WHOLE))
        results = _send(server, HttpClient(), count=2, is_close_awaited=True)
        assert all(isinstance(sent, Ok) for sent in results)
        assert server.connections == 2
