"""Tests of the HTTP client with servers that break the protocol."""

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

# Only a failure lasts so long.
_TIMEOUT_SECONDS = 20
_WHOLE = b'HTTP/1.1 200 OK\r\nx-from: s1\r\ncontent-length: 2\r\n\r\nok'
_REQUEST = HttpRequest('POST', '/')

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

    def test_endless_bytes(self) -> None:
        """A connection with bytes without end after an answer is closed."""
        # Guards against keeping a connection that fills with bytes.
        endless = Script(_WHOLE, Ending.REPEAT, b'x' * 65_536)
        server = RawServer(endless, Script(_WHOLE))
        results = _send(server, HttpClient(), count=2, is_close_awaited=True)
        assert all(isinstance(sent, Ok) for sent in results)
        assert server.connections == 2
