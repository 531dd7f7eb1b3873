"""Tests of requests through a gateway to failing backend servers."""

import socket

import pytest
import trio

from carobwalk.model import ServerId
from standins.platform import Fault, PlatformBackend
from tests.gateway.harness import GatewayHarness, exchange

_LOOKUP = (
    b'GET /reads/a HTTP/1.1\r\nhost: a.example\r\nattempt-id: left%d\r\n'
    b'deadline-ms: 500\r\n\r\n'
)


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


class TestFaults:
    @pytest.mark.parametrize(
        'fault',
        [Fault.RESET, Fault.CUT, Fault.NOISE, Fault.UNSIGNED, Fault.SHED],
    )
    def test_reads_are_retried(self, run_scenario, fault: Fault) -> None:
        """An idempotent request is retried on another server."""

        async def scenario(harness: GatewayHarness) -> None:
            for name in ('s1', 's2'):
                backend = await harness.add_backend('reads', name)
                backend.fault = fault
                backend.remaining_faults = name == 's1'
            for number in range(2):
                answer = await harness.send_request(
                    'GET', '/reads/a', b'', f'id{number}'
                )
                assert answer.status == 200

        run_scenario(scenario)

    def test_lost_read_without_another_server(self, run_scenario) -> None:
        """A lost read is not reported as not run if no other server exists."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            backend.fault = Fault.RESET
            backend.remaining_faults = 1
            answer = await harness.send_request('GET', '/reads/a')
            assert len(backend.requests) == 1
            assert answer.status == 502

        run_scenario(scenario)

    def test_lost_read_of_key_without_owner(self, run_scenario) -> None:
        """A lost read is not reported as not run if its key loses its owner."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('keyed', 's1', seconds=0.05)
            backend.fault = Fault.RESET
            backend.remaining_faults = 1
            harness.owners.server = harness.directory.get(ServerId('s1'))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_remove_owner, harness, backend)
                answer = await harness.send_request(
                    'GET', '/keyed/a', shard_key='5'
                )
            assert len(backend.requests) == 1
            assert answer.status in {502, 504}

        run_scenario(scenario)

    @pytest.mark.parametrize(
        'fault',
        [Fault.RESET, Fault.CUT, Fault.NOISE, Fault.UNSIGNED],
    )
    def test_writes_run_once(self, run_scenario, fault: Fault) -> None:
        """A write that may have run is not retried, nor reported as not run."""

        async def scenario(harness: GatewayHarness) -> None:
            backends = []
            for name in ('s1', 's2'):
                backend = await harness.add_backend('writes', name)
                backend.fault = fault
                backend.remaining_faults = 1
                backends.append(backend)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 502
            assert sum(len(backend.requests) for backend in backends) == 1

        run_scenario(scenario)

    def test_refused_write_is_retried(self, run_scenario) -> None:
        """A write that a server reports as not run is retried on another."""

        async def scenario(harness: GatewayHarness) -> None:
            backends = []
            for name in ('s1', 's2'):
                backend = await harness.add_backend('writes', name)
                backend.fault = Fault.SHED
                backend.remaining_faults = name == 's1'
                backends.append(backend)
            for number in range(2):
                answer = await harness.send_request(
                    'POST', '/writes/a', b'', f'i{number}'
                )
                assert answer.status == 200
            assert sum(len(backend.requests) for backend in backends) == 2

        run_scenario(scenario)

    def test_refused_by_all_servers(self, run_scenario) -> None:
        """A write that no server ran is answered with 503: not run."""

        async def scenario(harness: GatewayHarness) -> None:
            for name in ('s1', 's2'):
                backend = await harness.add_backend('writes', name)
                backend.fault = Fault.SHED
                backend.remaining_faults = 9
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 503
            assert b'retry-after' in answer.headers

        run_scenario(scenario)

    def test_signed_failure_unchanged(self, run_scenario) -> None:
        """A signed failure is forwarded with its status and signature."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            backend.fault = Fault.FAIL
            backend.remaining_faults = 1
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 500
            assert answer.headers[b'response-signature'] == b'1.2.3'

        run_scenario(scenario)

    def test_unframed_answer(self, run_scenario) -> None:
        """An answer delimited by the end of its connection is complete."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            backend.fault = Fault.UNFRAMED
            backend.remaining_faults = 1
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert (answer.status, answer.body) == (
                200,
                b'made by the server\n',
            )

        run_scenario(scenario)

    def test_stray_answer(self, run_scenario) -> None:
        """A surplus answer is not taken for that of the next request."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            backend.fault = Fault.EXTRA
            backend.remaining_faults = 9
            for number in range(6):
                name = f'id{number}'
                answer = await harness.send_request(
                    'GET', '/reads/a', b'', name
                )
                assert answer.headers[b'attempt-id'] == name.encode()
                assert answer.body == b'made by the server\n'

        run_scenario(scenario)

    def test_hanging_server(self, run_scenario) -> None:
        """A request without an answer ends at the deadline with 504."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            backend.fault = Fault.HANG
            backend.remaining_faults = 1
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 504
            again = await harness.send_request('POST', '/writes/a', b'x', 'id2')
            assert again.status == 200
            assert backend.connections == 2

        run_scenario(scenario)

    def test_connections_dropped_by_server(self, run_scenario) -> None:
        """Writes succeed although the server silently drops idle connections.

        The gateway must not reuse a connection that idled for longer than
        the server keeps it, as the outcome of a write would be unknown.
        """

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            backend.idle_timeout = 0.15
            for number in range(5):
                answer = await harness.send_request(
                    'POST', '/writes/a', b'x', f'w{number}'
                )
                assert answer.status == 200
                await trio.sleep(0.25)

        run_scenario(scenario)

    def test_unreachable_server(self, run_scenario) -> None:
        """No request fails because one of the servers can't be reached."""

        async def scenario(harness: GatewayHarness) -> None:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            harness.register('writes', 's0', port)
            backend = await harness.add_backend('writes', 's1')
            for number in range(8):
                answer = await harness.send_request(
                    'POST', '/writes/a', b'', f'i{number}'
                )
                assert answer.status == 200
            assert len(backend.requests) == 8

        run_scenario(scenario)

    def test_reused_address(self, run_scenario) -> None:
        """A server at a reused address does not run another's requests."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1')
            server = harness.directory.all_servers()[0]
            harness.directory.remove(server.id, 'gone')
            harness.register('writes', 's2', server.address.port)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 503
            assert backend.requests == []

        run_scenario(scenario)


class TestCallers:
    def test_disconnect_cancels_read(self, run_scenario) -> None:
        """A read is cancelled when its caller disconnects."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1', seconds=5)
            with trio.move_on_after(0.2):
                await harness.send_request('GET', '/reads/a')
            await trio.sleep(0.2)
            assert backend.cancelled_ids == [b'id1']

        run_scenario(scenario)

    def test_disconnect_before_request_is_read(self, run_scenario) -> None:
        """A request whose caller disconnected before it is read is not sent."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            await harness.send_request('GET', '/reads/a')
            for number in range(20):
                # Blocking calls, so that the gateway runs only after the close.
                with socket.create_connection(harness.address) as caller:
                    caller.sendall(_LOOKUP % number)
            await trio.sleep(0.2)
            assert [seen.id for seen in backend.requests] == [b'id1']

        run_scenario(scenario)

    def test_disconnect_does_not_cancel_write(self, run_scenario) -> None:
        """A write runs to its end although its caller disconnects."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1', seconds=0.2)
            with trio.move_on_after(0.1):
                await harness.send_request('POST', '/writes/a', b'x')
            while harness.loads.of(harness.directory.get('s1')).in_flight:
                await trio.sleep(0.05)
            assert backend.requests[0].id == b'id1'
            assert backend.cancelled_ids == []

        run_scenario(scenario)

    def test_stop_finishes_requests(self, run_scenario) -> None:
        """Requests in flight are answered completely during a shutdown."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1', seconds=0.3)
            answers = []

            async def ask() -> None:
                answers.append(
                    await harness.send_request('POST', '/writes/a', b'x')
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                harness.is_stopping = True
                assert await harness.server.close(60)
            assert answers[0].status == 200
            assert answers[0].headers[b'connection'] == b'close'

        run_scenario(scenario)

    def test_stop_closes_idle_connections(self, run_scenario) -> None:
        """Idle connections of callers do not delay a shutdown."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1')
            http = await harness.open()
            await exchange(http, 'GET', '/reads/a')
            harness.is_stopping = True
            assert await harness.server.close(60)

        run_scenario(scenario)


class TestKeys:
    def test_owner(self, run_scenario) -> None:
        """A request is sent to the owner of its key."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('keyed', 's1')
            await harness.add_backend('keyed', 's2')
            harness.owners.server = harness.directory.get('s1')
            for number in range(4):
                answer = await harness.send_request(
                    'GET',
                    '/keyed/a',
                    b'',
                    f'id{number}',
                    shard_key='77',
                )
                assert answer.status == 200
            assert len(backend.requests) == 4
            assert harness.owners.counts == [77, 77, 77, 77]

        run_scenario(scenario)

    def test_no_owner(self, run_scenario) -> None:
        """A request for a key without an owner is refused as not run."""

        async def scenario(harness: GatewayHarness) -> None:
            answer = await harness.send_request(
                'GET', '/keyed/a', shard_key='77'
            )
            assert answer.status == 503
            assert b'no owner' in answer.body

        run_scenario(scenario)


async def _remove_owner(
    harness: GatewayHarness, backend: PlatformBackend
) -> None:
    """Remove the owner of all keys as soon as a request runs."""
    while not backend.requests:
        await trio.sleep(0.002)
    harness.owners.server = None
