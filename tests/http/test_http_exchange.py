"""Tests of ``HttpClient`` and ``serve_http`` over loopback."""

import trio
from result import Err, Ok

from carobwalk.http import (
    ConnectFailed,
    HttpClient,
    HttpRequest,
    HttpResponse,
    NoAnswer,
    serve_http,
)
from carobwalk.model import Address

_TIMEOUT_SECONDS = 5


async def _echo(request: HttpRequest) -> HttpResponse:
    if request.path == '/fail':
        raise ValueError(request.path)
    if request.path == '/hang':
        await trio.sleep_forever()
    text = f'{request.method} {request.path} {request.query}'
    return HttpResponse(status=200, body=text.encode() + request.body)


async def _send_all(
    *requests: HttpRequest,
    timeout: float,
) -> list[object]:
    results: list[object] = []
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(serve_http, _echo, listeners)
        client = HttpClient()
        for request in requests:
            address = Address('127.0.0.1', port)
            results.append(await client.send(address, request, timeout))
        nursery.cancel_scope.cancel()
    return results


class TestHttpExchange:
    def test_successive_requests(self) -> None:
        """Successive requests of one client each get their own response."""
        post = HttpRequest('POST', '/a b', {'q': '1'}, body=b'!')
        get = HttpRequest('GET', '/c')

        async def main() -> list[object]:
            return await _send_all(post, get, timeout=_TIMEOUT_SECONDS)

        first, second = trio.run(main)
        assert first == Ok(_response(b"POST /a b {'q': '1'}!", first))
        assert second == Ok(_response(b'GET /c {}', second))

    def test_exception(self) -> None:
        """An exception in the handler results in status 500."""
        fail = HttpRequest('GET', '/fail')

        async def main() -> list[object]:
            return await _send_all(fail, timeout=_TIMEOUT_SECONDS)

        result = trio.run(main)[0]
        assert isinstance(result, Ok)
        assert result.ok_value.status == 500

    def test_no_answer(self) -> None:
        """A request without a response before the timeout is ``NoAnswer``."""
        hang = HttpRequest('GET', '/hang')

        async def main() -> list[object]:
            return await _send_all(hang, timeout=0.05)

        result = trio.run(main)[0]
        assert isinstance(result, Err)
        assert isinstance(result.err_value, NoAnswer)

    def test_refused(self) -> None:
        """A refused connection is ``ConnectFailed``: nothing was sent."""

        async def main() -> object:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            client = HttpClient()
            request = HttpRequest('GET', '/')
            return await client.send(Address('127.0.0.1', port), request, 1)

        result = trio.run(main)
        assert isinstance(result, Err)
        assert isinstance(result.err_value, ConnectFailed)

    # Bytes left after a response were parsed as the next response.
    def test_surplus_response(self) -> None:
        """A second response to one request is not taken for the next one's."""
        bodies = iter((b'one', b'two'))

        async def answer_twice(stream: trio.SocketStream) -> None:
            while await stream.receive_some(10_000):
                response = (
                    b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n%s'
                    % next(bodies)
                )
                await stream.send_all(response + response)

        async def main() -> list[object]:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(
                    trio.serve_listeners, answer_twice, listeners
                )
                client = HttpClient()
                results = [
                    await client.send(
                        Address('127.0.0.1', port),
                        HttpRequest('GET', '/'),
                        _TIMEOUT_SECONDS,
                    )
                    for _ in range(2)
                ]
                nursery.cancel_scope.cancel()
            return results

        first, second = trio.run(main)
        assert first == Ok(_response(b'one', first))
        assert second == Ok(_response(b'two', second))


def _response(body: bytes, result: object) -> HttpResponse:
    """Return a response with the headers of ``result`` and the given body."""
    assert isinstance(result, Ok)
    response = result.ok_value
    assert isinstance(response, HttpResponse)
    return HttpResponse(200, response.headers, body)
