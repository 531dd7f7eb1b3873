"""Requests that are answered before they have a route."""

import pytest
import trio

from tests.gateway.harness import GatewayHarness

# Only a failure lasts so long.
_CLOSE_SECONDS = 5
_MAX_ANSWER_BYTES = 400


class TestLoggedRefusals:
    """Guards against refusals that neither a log line nor a metric tells."""

    @pytest.mark.parametrize(
        ('path', 'headers', 'body', 'status'),
        [
            ('/other/a', {}, b'', 404),
            ('/writes/a', {'x_long': 'a' * 9000}, b'', 431),
            ('/writes/a', {}, b'x' * 200_000, 413),
        ],
    )
    def test_rejected(self, run_scenario, path, headers, body, status) -> None:
        """Each rejection has one line with its id and one count."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.send_request('POST', path, body, 'id7', **headers)
            lines = harness.log.named('RequestAnswered')
            assert [(line.request, line.status) for line in lines] == [
                ('id7', status)
            ]
            assert lines[0].cause
            assert harness.meter.statuses == [status]
            assert harness.meter.refusal_causes == []

        run_scenario(scenario)

    def test_no_configuration(self, run_scenario) -> None:
        """A refusal for lack of a configuration names a time to retry."""

        async def scenario(harness: GatewayHarness) -> None:
            harness.routes.table = None
            answer = await harness.send_request(
                'GET', '/reads/a', request_id='id8'
            )
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) > 0
            line = harness.log.named('RequestAnswered')[0]
            assert (line.request, line.status) == ('id8', 503)
            assert harness.meter.refusal_causes == ['no configuration yet']

        run_scenario(scenario)

    def test_malformed(self, run_scenario) -> None:
        """Bytes that are no request are logged without an id."""

        async def scenario(harness: GatewayHarness) -> None:
            http = await harness.open()
            await http.stream.send_all(b'no request\r\n\r\n')
            text = bytes(await http.stream.receive_some(1000))
            assert text.startswith(b'HTTP/1.1 400 ')
            line = harness.log.named('RequestAnswered')[0]
            assert (line.request, line.status) == ('', 400)

        run_scenario(scenario)

    def test_slow_head(self, run_scenario) -> None:
        """A head that does not arrive in time is logged."""

        async def scenario(harness: GatewayHarness) -> None:
            http = await harness.open()
            await http.stream.send_all(b'GET / HTTP/1.1\r\n')
            text = bytes(await http.stream.receive_some(1000))
            assert text.startswith(b'HTTP/1.1 408 ')
            assert harness.log.named('RequestAnswered')[0].status == 408

        run_scenario(scenario)

    @pytest.mark.parametrize(
        'start',
        [
            b'GET /reads/a HTTP/1.1\r\nhost: a.example\r\n',
            b'POST /writes/a HTTP/1.1\r\nhost: a.example\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
        ],
        ids=['head', 'body'],
    )
    def test_long_line(self, run_scenario, start: bytes) -> None:
        """Neither the answer nor its log line repeats a long line."""
        # Guards against log lines as long as what was received.

        async def scenario(harness: GatewayHarness) -> None:
            stream = await trio.open_tcp_stream(*harness.address)
            await stream.send_all(b'%s%s\r\n\r\n' % (start, b'z' * 30_000))
            with trio.fail_after(_CLOSE_SECONDS):
                answer = b''.join([chunk async for chunk in stream])
            assert answer.startswith(b'HTTP/1.1 400 ')
            assert len(answer) < _MAX_ANSWER_BYTES
            line = harness.log.named('RequestAnswered')[0]
            assert line.cause.startswith('RemoteProtocolError: illegal ')
            assert len(line.cause) < _MAX_ANSWER_BYTES

        run_scenario(scenario)
