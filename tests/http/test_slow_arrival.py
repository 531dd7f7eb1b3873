"""Responses that take longer to arrive than the timeout of their request."""

import trio
from result import Err

from carobwalk.http import HttpClient, HttpFailure, HttpRequest, HttpResponse
from carobwalk.model import Address
from tests.http.raw_server import Ending, RawServer, Script

_TIMEOUT_SECONDS = 0.3
_STALL_SECONDS = 0.25
_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n'


def _ask(script: Script, stall_seconds: float) -> HttpResponse | HttpFailure:
    """Return the response to a request, or why there is none."""
    found: list[HttpResponse | HttpFailure] = []

    async def main() -> None:
        server = RawServer(script)
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            sent = await HttpClient().send(
                Address('127.0.0.1', server.port),
                HttpRequest('GET', '/kv-watch', stall_seconds=stall_seconds),
                _TIMEOUT_SECONDS,
            )
            found.append(
                sent.err_value if isinstance(sent, Err) else sent.ok_value
            )
            nursery.cancel_scope.cancel()

    trio.run(main)
    return found[0]


class TestSlowArrival:
    # Guards against an old configuration in force: on a thin link the store's
    # answer with a large one was given up each time before it was whole.
    def test_keeps_arriving(self) -> None:
        """A response is waited for as long as its parts keep arriving."""
        script = Script(_HEAD, Ending.REPEAT, b'x' * 100, 0.1)
        answer = _ask(script, _STALL_SECONDS)
        assert isinstance(answer, HttpResponse)
        assert len(answer.body) == 1000

    def test_stalls(self) -> None:
        """A response that pauses for longer is given up."""
        script = Script(_HEAD, Ending.REPEAT, b'x' * 300, 0.6)
        assert not isinstance(_ask(script, _STALL_SECONDS), HttpResponse)

    def test_never_begins(self) -> None:
        """The timeout bounds the time until the response begins."""
        assert not isinstance(_ask(Script(b''), _STALL_SECONDS), HttpResponse)

    def test_whole_in_time(self) -> None:
        """By default the timeout bounds the whole response."""
        script = Script(_HEAD, Ending.REPEAT, b'x' * 100, 0.1)
        assert not isinstance(_ask(script, 0), HttpResponse)
