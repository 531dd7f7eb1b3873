"""Tests of request targets that can't be parsed."""

import pytest
import trio

from carobwalk.http import HttpRequest, HttpResponse, serve_http

_TIMEOUT_SECONDS = 5
_RECEIVE_BYTES = 1000


async def _accept(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=request.path.encode())


async def _get(port: int, target: bytes) -> bytes:
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    async with stream:
        await stream.send_all(b'GET %s HTTP/1.1\r\nhost: x\r\n\r\n' % target)
        return bytes(await stream.receive_some(_RECEIVE_BYTES))


class TestInvalidTarget:
    @pytest.mark.parametrize('target', [b'//[', b'//[x]/', b'http://[/a'])
    def test_status(self, target: bytes) -> None:
        """A target that is no URL is a bad request."""

        async def main() -> bytes:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(serve_http, _accept, listeners)
                with trio.fail_after(_TIMEOUT_SECONDS):
                    answer = await _get(port, target)
                nursery.cancel_scope.cancel()
            return answer

        assert trio.run(main).startswith(b'HTTP/1.1 400')

    def test_server_survives(self) -> None:
        """A target that is no URL ends its own connection at most."""
        # Guards against one request to the readiness port ending the process.

        async def main() -> bytes:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(serve_http, _accept, listeners)
                with trio.fail_after(_TIMEOUT_SECONDS):
                    await _get(port, b'//[')
                    answer = await _get(port, b'/readiness')
                nursery.cancel_scope.cancel()
            return answer

        assert trio.run(main).startswith(b'HTTP/1.1 200')
