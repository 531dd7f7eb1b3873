"""Tests of methods whose answers have no body of their own."""

import pytest
import trio

from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_scenarios import WHOLE, add_server, run
from tests.http.raw_server import Script

_FIELDS = b'host: a.example\r\nattempt-id: id1\r\ndeadline-ms: 2000\r\n\r\n'


class TestAnswered:
    @pytest.mark.parametrize(
        'line',
        [b'HEAD /none/a', b'CONNECT /none/a', b'CONNECT /writes/a'],
        ids=['head', 'connect-no-route', 'connect'],
    )
    def test_status(self, line: bytes) -> None:
        """A request that was read is answered before the connection closes."""
        # Guards against closing in place of a refusal or a server's answer.
        received: list[bytes] = []

        async def scenario(harness: GatewayHarness) -> None:
            await add_server(harness, 'writes', Script(WHOLE))
            stream = await trio.open_tcp_stream(*harness.address)
            await stream.send_all(b'%s HTTP/1.1\r\n%s' % (line, _FIELDS))
            received.append(bytes(await stream.receive_some(1000)))

        run(scenario)
        assert received[0].startswith(b'HTTP/1.1 ')
