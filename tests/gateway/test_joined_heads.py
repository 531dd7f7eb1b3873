"""Tests of the beginning of an earlier answer before the next answer."""

import pytest

from tests.gateway.harness import Answer, GatewayHarness
from tests.gateway.raw_scenarios import WHOLE, add_server, run
from tests.http.raw_server import Script

_ANSWER = WHOLE.replace(b'id1', b'id2')
_FAILURE = _ANSWER.replace(b'200 OK', b'500 Internal Server Error')
_REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\n'


async def _ask(harness: GatewayHarness, request_id: str) -> Answer:
    return await harness.send_request(
        'POST', '/writes/a', b'x', request_id, deadline_ms='2000'
    )


class TestJoinedHeads:
    @pytest.mark.parametrize(
        'message',
        [
            b'HTTP/1.1 503 Serv%s' % _ANSWER,
            b'%sDate: Fri, %s' % (_REFUSAL, _ANSWER),
            b'%sNot-Executed: %s' % (_REFUSAL, _ANSWER),
            b'HTTP/1.1 421 Misdirected Request\r\nDate: %s' % _ANSWER,
            b'HTTP/1.1 200 OK\r\nDate: Fri, %s' % _FAILURE,
        ],
        ids=['reason', 'refusal', 'not-executed', 'misdirected', 'success'],
    )
    def test_status_unknown(self, message: bytes) -> None:
        """The status before a cut head tells nothing of the next answer."""
        # Guards against 'not run' for a request that has run, and against a
        # success where the server had answered with a failure.

        async def scenario(harness: GatewayHarness) -> None:
            server = await add_server(
                harness, 'writes', Script(WHOLE), Script(message)
            )
            await _ask(harness, 'id1')
            answer = await _ask(harness, 'id2')
            assert server.connections == 1
            assert answer.status == 502

        run(scenario)

    def test_second_server(self) -> None:
        """A request that has run is not sent to a second server."""
        # Guards against running a request twice that may run only once.

        async def scenario(harness: GatewayHarness) -> None:
            message = b'%sNot-Executed: %s' % (_REFUSAL, _ANSWER)
            scripts = Script(WHOLE), Script(message), Script(_ANSWER)
            servers = [
                await add_server(harness, 'writes', *scripts, name=name)
                for name in ('s1', 's2')
            ]
            # The scripts are those of the requests at either server.
            servers[1].requests = servers[0].requests
            await _ask(harness, 'id1')
            await _ask(harness, 'id2')
            assert len(servers[0].requests) == 2

        run(scenario)
