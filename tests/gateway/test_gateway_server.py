"""Tests of requests through a gateway."""

import pytest

from tests.gateway.harness import GatewayHarness, exchange


class TestForwarding:
    def test_content_unchanged(self, run_scenario) -> None:
        """Method, path, body and answer are forwarded unchanged."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            answer = await harness.send_request(
                'POST', '/writes/a?b=%20c', b'x' * 50_000
            )
            assert answer.status == 200
            assert answer.body == b'made by the server\n'
            assert answer.headers[b'response-signature'] == b'1.2.3'
            seen = backend.requests[0]
            assert (seen.method, seen.target) == (b'POST', b'/writes/a?b=%20c')
            assert seen.body == b'x' * 50_000
            headers = dict(seen.headers)
            assert headers[b'target-instance'] == b's1'
            assert headers[b'attempt-id'] == b'id1'
            assert 0 < int(headers[b'deadline-ms']) <= 500

        run_scenario(scenario)

    def test_persistent_connections(self, run_scenario) -> None:
        """Connections on both sides are reused for further requests."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            http = await harness.open()
            for number in range(5):
                name = f'id{number}'
                answer = await exchange(
                    http,
                    'GET',
                    '/reads/a',
                    request_id=name,
                )
                assert answer.headers[b'attempt-id'] == name.encode()
                http.protocol.start_next_cycle()
            assert backend.connections == 1

        run_scenario(scenario)

    def test_no_route(self, run_scenario) -> None:
        """A path that matches no route is answered with 404."""

        async def scenario(harness: GatewayHarness) -> None:
            for path in ('/', '/reads', '/other/x'):
                assert (await harness.send_request('GET', path)).status == 404

        run_scenario(scenario)

    def test_no_configuration(self, run_scenario) -> None:
        """Without a configuration, requests are refused with 503."""

        async def scenario(harness: GatewayHarness) -> None:
            harness.routes.table = None
            assert (await harness.send_request('GET', '/reads/a')).status == 503

        run_scenario(scenario)

    def test_no_server(self, run_scenario) -> None:
        """Without a server, a request is refused with a time to retry."""

        async def scenario(harness: GatewayHarness) -> None:
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) > 0

        run_scenario(scenario)

    def test_two_framings(self, run_scenario) -> None:
        """A request with both a length and a transfer coding is rejected."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1')
            http = await harness.open()
            await http.stream.send_all(
                b'POST /writes/a HTTP/1.1\r\nhost: a.example\r\n'
                b'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'
                b'0\r\n\r\nGET /reads/smuggled HTTP/1.1\r\n\r\n',
            )
            text = bytes(await http.stream.receive_some(1000))
            assert text.startswith(b'HTTP/1.1 400 ')

        run_scenario(scenario)

    @pytest.mark.parametrize(
        ('path', 'headers', 'body', 'status'),
        [
            ('/writes/a', {'x_long': 'a' * 9000}, b'', 431),
            ('/writes/a', {}, b'x' * 200_000, 413),
        ],
    )
    def test_too_large(self, run_scenario, path, headers, body, status) -> None:
        """Heads and bodies over the limits are rejected with 431 and 413."""

        async def scenario(harness: GatewayHarness) -> None:
            answer = await harness.send_request('POST', path, body, **headers)
            assert answer.status == status

        run_scenario(scenario)
