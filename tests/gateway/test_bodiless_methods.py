"""Tests of methods whose answers have no body of their own."""

import pytest
import trio

from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_scenarios import WHOLE, add_server, run
from tests.http.raw_server import Script

_FIELDS = b'host: a.example\r\nattempt-id: id1\r\ndeadline-ms: 2000\r\n\r\n'
# Only a failure lasts so long.
_QUIET_SECONDS = 5


def _ask(line: bytes) -> tuple[bytes, list[bytes]]:
    """Return all bytes of an answer, and the requests at the server."""
    received = bytearray()
    requests: list[bytes] = []

    async def scenario(harness: GatewayHarness) -> None:
        server = await add_server(harness, 'writes', Script(WHOLE))
        stream = await trio.open_tcp_stream(*harness.address)
        await stream.send_all(b'%s HTTP/1.1\r\n%s' % (line, _FIELDS))
        with trio.move_on_after(_QUIET_SECONDS):
            async for chunk in stream:
                received.extend(chunk)
        requests.extend(server.requests)

    run(scenario)
    return bytes(received), requests


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

    def test_head_without_route(self) -> None:
        """A refusal to HEAD has the length of a body, but no body."""
        answer, _ = _ask(b'HEAD /none/a')
        head, _, body = answer.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 404 ')
        assert b'content-length: 14' in head.lower()
        assert not body

    def test_tunnel(self) -> None:
        """CONNECT is not supported and reaches no server."""
        answer, requests = _ask(b'CONNECT /writes/a')
        assert answer.startswith(b'HTTP/1.1 501 ')
        assert not requests


class TestHost:
    def test_named_in_connection(self) -> None:
        """Host is forwarded even if a caller names it in Connection."""
        # Guards against an invalid request, which ended the connection.
        received: list[bytes] = []

        async def scenario(harness: GatewayHarness) -> None:
            server = await add_server(harness, 'writes', Script(WHOLE))
            answer = await harness.send_request(
                'POST', '/writes/a', deadline_ms='2000', connection='Host, x'
            )
            assert answer.status == 200
            received.extend(server.requests)

        run(scenario)
        assert b'host: a.example\r\n' in received[0].lower()
