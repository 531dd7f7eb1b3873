"""Tests of answers that a client gets while it is still sending."""

from types import MappingProxyType

import pytest
import trio
from result import Err

from carobwalk.http import HttpClient, HttpRequest, NoAnswer, reset_on_close
from carobwalk.model import Address

_PART = b'the start of'
_ANSWERS = MappingProxyType(
    {
        'open': b'HTTP/1.1 200 OK\r\n\r\n',
        'close': b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
        '1.0': b'HTTP/1.0 200 OK\r\n\r\n',
        'informational': (
            b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n'
        ),
    }
)


class TestEarlyAnswer:
    @pytest.mark.parametrize('name', _ANSWERS)
    @pytest.mark.parametrize('size', [2_000_000, 12_000_000])
    @pytest.mark.parametrize('is_reset', [False, True])
    def test_not_complete(self, name: str, size: int, is_reset: bool) -> None:
        """An answer that ends with the connection in an upload is none."""
        # Guards against the start of a body that is taken for the whole one.

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(1000)
            await stream.send_all(_ANSWERS[name] + _PART)
            if is_reset:
                reset_on_close(stream)
            else:
                await stream.send_eof()
                await trio.sleep(0.01)
            await trio.aclose_forcefully(stream)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                request = HttpRequest('POST', '/', body=bytes(size))
                address = Address('127.0.0.1', port)
                outcome = await HttpClient().send(address, request, 2)
                assert isinstance(outcome, Err)
                assert isinstance(outcome.err_value, NoAnswer)
                nursery.cancel_scope.cancel()

        trio.run(main)
