"""Tests of answers that are reset while the request is still being sent."""

import trio

from carobwalk.http import reset_on_close
from carobwalk.model import ServerId
from carobwalk.platform import decode_configuration
from tests.gateway.harness import CONFIGURATION, GatewayHarness
from tests.gateway.raw_scenarios import OPEN_HEAD, run

# More than the sockets of both sides buffer, so that the router is still
# sending when the connection is reset.
_BODY = b'x' * 8_000_000
_LARGE_UPLOADS = CONFIGURATION.replace(b'"r7"', b'"r9"').replace(
    b'"max_body_bytes":100000', b'"max_body_bytes":10000000'
)
# The order in which the router's two tasks see the reset is random.
_COUNT = 16
_DEADLINE_MS = '3000'
_ANSWER_WITHOUT_LENGTH = b'%s\r\nthe start of' % OPEN_HEAD


async def _reset(stream: trio.SocketStream) -> None:
    """Answer without a length before the body is read, then reset."""
    await stream.receive_some(1000)
    await stream.send_all(_ANSWER_WITHOUT_LENGTH)
    await trio.sleep(0.01)
    reset_on_close(stream)
    await trio.aclose_forcefully(stream)


class TestResetUpload:
    def test_never_whole(self) -> None:
        """An answer without a length that is reset is not complete."""
        # Guards against a 200 with the start of a body, framed as whole.
        statuses: list[int] = []

        async def scenario(harness: GatewayHarness) -> None:
            harness.routes.offer(
                decode_configuration(_LARGE_UPLOADS).ok_value, 3
            )
            for number in range(_COUNT):
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                harness.nursery.start_soon(
                    trio.serve_listeners, _reset, listeners
                )
                # The servers before it are avoided after their failures.
                harness.directory.remove(ServerId(f's{number - 1}'), 'replaced')
                harness.register('writes', f's{number}', port)
                answer = await harness.send_request(
                    'POST', '/writes/a', _BODY, deadline_ms=_DEADLINE_MS
                )
                statuses.append(answer.status)

        run(scenario)
        assert set(statuses) == {502}
