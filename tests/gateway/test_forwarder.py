"""Tests of requests to failing backend servers."""

import pytest
import trio

from carobwalk.model import ServerId
from standins.platform import Fault, PlatformBackend
from tests.gateway.harness import GatewayHarness


class TestFaults:
    @pytest.mark.parametrize(
        'fault',
        [Fault.RESET, Fault.CUT, Fault.NOISE, Fault.UNSIGNED, Fault.SHED],
    )
    def test_reads_are_retried(self, run_scenario, fault: Fault) -> None:
        """An idempotent request is retried on another server."""

        async def scenario(harness: GatewayHarness) -> None:
            for name, times in (('s1', 1), ('s2', 0)):
                await harness.add_faulty_backend('reads', name, fault, times)
            for number in range(2):
                answer = await harness.send_request(
                    'GET', '/reads/a', b'', f'id{number}'
                )
                assert answer.status == 200

        run_scenario(scenario)

    def test_lost_read_without_another_server(self, run_scenario) -> None:
        """A lost read is not reported as not run if no other server exists."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'reads', 's1', Fault.RESET
            )
            answer = await harness.send_request('GET', '/reads/a')
            assert len(backend.requests) == 1
            assert answer.status == 502

        run_scenario(scenario)

    def test_lost_read_of_key_without_owner(self, run_scenario) -> None:
        """A lost read is not reported as not run if its key loses its owner."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'keyed', 's1', Fault.RESET, seconds=0.05
            )
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
                backend = await harness.add_faulty_backend(
                    'writes', name, fault
                )
                backends.append(backend)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 502
            assert sum(len(backend.requests) for backend in backends) == 1

        run_scenario(scenario)

    def test_refused_write_is_retried(self, run_scenario) -> None:
        """A write that a server reports as not run is retried on another."""

        async def scenario(harness: GatewayHarness) -> None:
            backends = []
            for name, times in (('s1', 1), ('s2', 0)):
                backend = await harness.add_faulty_backend(
                    'writes', name, Fault.SHED, times
                )
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
                await harness.add_faulty_backend(
                    'writes', name, Fault.SHED, times=9
                )
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 503
            assert b'retry-after' in answer.headers

        run_scenario(scenario)

    def test_signed_failure_unchanged(self, run_scenario) -> None:
        """A signed failure is forwarded with its status and signature."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend('writes', 's1', Fault.FAIL)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 500
            assert answer.headers[b'response-signature'] == b'1.2.3'

        run_scenario(scenario)

    def test_unframed_answer(self, run_scenario) -> None:
        """An answer delimited by the end of its connection is complete."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend('writes', 's1', Fault.UNFRAMED)
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert (answer.status, answer.body) == (
                200,
                b'made by the server\n',
            )

        run_scenario(scenario)

    def test_stray_answer(self, run_scenario) -> None:
        """A surplus answer is not taken for that of the next request."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend(
                'reads', 's1', Fault.EXTRA, times=9
            )
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
            backend = await harness.add_faulty_backend(
                'writes', 's1', Fault.HANG
            )
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


async def _remove_owner(
    harness: GatewayHarness, backend: PlatformBackend
) -> None:
    """Remove the owner of all keys as soon as a request runs."""
    while not backend.requests:
        await trio.sleep(0.002)
    harness.owners.server = None
