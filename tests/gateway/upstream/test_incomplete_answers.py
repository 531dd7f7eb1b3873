"""Tests of answers that end while the request is still being sent."""

from types import MappingProxyType

import pytest
import trio

from carobwalk.http import reset_on_close
from carobwalk.platform import decode_configuration
from tests.gateway.harness import CONFIGURATION, GatewayHarness
from tests.gateway.raw_scenarios import OPEN_HEAD, run

_LARGE_UPLOADS = CONFIGURATION.replace(b'"r7"', b'"r9"').replace(
    b'"max_body_bytes":100000', b'"max_body_bytes":20000000'
)
_PART = b'the start of'
_HTTP_1_0 = OPEN_HEAD.replace(b'HTTP/1.1', b'HTTP/1.0')
_ANSWERS = MappingProxyType(
    {
        'open': b'%s\r\n%s' % (OPEN_HEAD, _PART),
        'close': b'%sconnection: close\r\n\r\n%s' % (OPEN_HEAD, _PART),
        '1.0': b'%s\r\n%s' % (_HTTP_1_0, _PART),
        '1.0 length': b'%scontent-length: 99\r\n\r\n%s' % (_HTTP_1_0, _PART),
        'length': b'%scontent-length: 99\r\n\r\n%s' % (OPEN_HEAD, _PART),
        'chunked': b'%stransfer-encoding: chunked\r\n\r\nc\r\n%s\r\n'
        % (OPEN_HEAD, _PART),
        'informational': b'HTTP/1.1 103 Early Hints\r\n\r\n%s\r\n%s'
        % (OPEN_HEAD, _PART),
    }
)
# The first fits into the buffers of the sockets, so it is sent completely.
_SIZES = (20_000, 2_000_000, 12_000_000)
_RESET_AFTER_SECONDS = (0, 0.01, 0.1)


class EarlyServer:
    """Answers before it has read the request, and ends the connection.

    Args:
        answer: Bytes to send.
        seconds: Time between the answer and the end.
        is_reset: Whether it resets the connection instead of ending its
            output in order.
    """

    def __init__(
        self, answer: bytes, seconds: float, *, is_reset: bool
    ) -> None:
        self._answer = answer
        self._seconds = seconds
        self._is_reset = is_reset

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        await stream.receive_some(1000)
        await stream.send_all(self._answer)
        await trio.sleep(self._seconds)
        if self._is_reset:
            reset_on_close(stream)
        else:
            await stream.send_eof()
            await trio.sleep(0.2)
        await trio.aclose_forcefully(stream)


def _upload(server: EarlyServer, size: int) -> int:
    """Return the status of the answer to an upload."""
    statuses: list[int] = []

    async def scenario(harness: GatewayHarness) -> None:
        harness.routes.offer(decode_configuration(_LARGE_UPLOADS).ok_value, 3)
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        harness.nursery.start_soon(
            trio.serve_listeners, server.serve, listeners
        )
        harness.register('writes', 's1', port)
        answer = await harness.send_request(
            'POST', '/writes/a', b'x' * size, deadline_ms='2000'
        )
        statuses.append(answer.status)

    run(scenario)
    return statuses[0]


class TestEarlyEnd:
    @pytest.mark.parametrize('name', _ANSWERS)
    @pytest.mark.parametrize('size', _SIZES)
    def test_reset(self, name: str, size: int) -> None:
        """An answer that is reset during an upload is not complete."""
        # Guards against a 200 with the start of a body, framed as whole.
        for seconds in _RESET_AFTER_SECONDS:
            server = EarlyServer(_ANSWERS[name], seconds, is_reset=True)
            assert _upload(server, size) == 502, seconds

    @pytest.mark.parametrize('name', ['open', 'close', '1.0', 'informational'])
    @pytest.mark.parametrize('size', _SIZES[1:])
    def test_orderly_end(self, name: str, size: int) -> None:
        """Nor is one without a length that ends in order during an upload."""
        # Guards against a 200 with the start of a body, framed as whole: a
        # server that stops in the middle may also end its output in order.
        server = EarlyServer(_ANSWERS[name], 0.01, is_reset=False)
        assert _upload(server, size) == 502

    @pytest.mark.parametrize('size', _SIZES)
    def test_complete(self, size: int) -> None:
        """A complete answer with a length counts, also during an upload."""
        # Guards against a refusal of answers that servers give early.
        answer = b'%scontent-length: 12\r\n\r\n%s' % (OPEN_HEAD, _PART)
        server = EarlyServer(answer, 0.1, is_reset=False)
        assert _upload(server, size) == 200
