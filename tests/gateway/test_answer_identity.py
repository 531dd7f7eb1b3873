"""Tests that an answer is never taken for that of another request."""

from collections import Counter

import pytest
import trio

from carobwalk.model import ServerId
from carobwalk.platform import decode_configuration
from standins.platform import Fault, PlatformBackend
from tests.gateway.harness import CONFIGURATION, GatewayHarness

# Requests with a key are not idempotent.
_KEYED_WRITES = CONFIGURATION.replace(b'"r7"', b'"r8"').replace(
    b'{"name":"keyed","kind":"idempotent"',
    b'{"name":"keyed","kind":"non_idempotent"',
)


def runs_by_id(backend: PlatformBackend) -> Counter[bytes]:
    """Return the number of runs of each request at a server."""
    return Counter(request.id for request in backend.requests)


class TestRepeatedAnswers:
    # A refusal that is written twice counted as the refusal of the next send.
    def test_repeated_refusal(self, run_scenario) -> None:
        """A request resent after a refusal gets the answer of that send."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'keyed', 's1', Fault.REPEATED_REFUSAL
            )
            harness.owners.server = harness.directory.get(ServerId('s1'))
            harness.routes.offer(
                decode_configuration(_KEYED_WRITES).ok_value, 2
            )
            answer = await harness.send_request(
                'POST', '/keyed/a', b'x', shard_key='5'
            )
            assert runs_by_id(backend) == {b'id1': 1}
            assert answer.status == 200

        run_scenario(scenario)

    # The second copy of a refusal may follow long after the first.
    def test_late_repeated_refusal(self, run_scenario) -> None:
        """A connection carries an id once, whatever it carried since."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('keyed', 's1')
            harness.owners.server = harness.directory.get(ServerId('s1'))
            connections = []
            for request_id in ('id1', 'id2', 'id3', 'id1'):
                await harness.send_request(
                    'GET', '/keyed/a', b'', request_id, shard_key='5'
                )
                connections.append(backend.connections)
            assert connections == [1, 1, 1, 2]

        run_scenario(scenario)


class TestExtraAnswers:
    # A late answer without an id counted as that of the request then waiting.
    @pytest.mark.parametrize(
        'fault', [Fault.UNIDENTIFIED_EXTRA, Fault.UNIDENTIFIED_REFUSAL]
    )
    def test_late_answer_without_id(self, run_scenario, fault) -> None:
        """On a used connection, an answer without an id tells no outcome."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend('writes', 's1', fault)
            await harness.send_request('POST', '/writes/a', b'x', 'id1')
            answer = await harness.send_request(
                'POST', '/writes/a', b'x', 'id2'
            )
            assert backend.connections == 1
            assert runs_by_id(backend) == {b'id1': 1, b'id2': 1}
            assert answer.status == 502
            harness.loads.of(harness.directory.get('s1')).ejected_until = 0
            answer = await harness.send_request(
                'POST', '/writes/a', b'x', 'id3'
            )
            assert (answer.status, backend.connections) == (200, 2)

        run_scenario(scenario)

    # Empty ids of two requests were equal, so any answer matched either.
    def test_requests_without_id(self, run_scenario) -> None:
        """Requests without an id are each sent on a connection of their own."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            for number in range(1, 4):
                answer = await harness.send_request('GET', '/reads/a', b'', '')
                assert answer.status == 200
                assert backend.connections == number

        run_scenario(scenario)

    # Skipping a late answer must not lose the answer that follows it.
    def test_late_answer_with_other_id(self, run_scenario) -> None:
        """A late answer with another id is skipped."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'writes', 's1', Fault.LATE_EXTRA, times=9
            )
            for number in range(3):
                answer = await harness.send_request(
                    'POST', '/writes/a', b'x', f'id{number}'
                )
                assert answer.headers[b'attempt-id'] == b'id%d' % number
                assert answer.body == b'made by the server\n'
            assert backend.connections == 1

        run_scenario(scenario)

    # After a stray answer, one without an id may be a stray answer too.
    def test_answer_without_id_after_another(self, run_scenario) -> None:
        """On a new connection, only the first answer counts without an id."""

        async def scenario(harness: GatewayHarness) -> None:
            await _add_raw_server(
                harness,
                b'attempt-id: other\r\ncontent-length: 0\r\n',
                b'content-length: 0\r\n',
            )
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 502

        run_scenario(scenario)

    # The answer to HEAD was waited for as if its body followed.
    def test_head_after_another_answer(self, run_scenario) -> None:
        """An answer to HEAD that follows a stray answer has no body."""

        async def scenario(harness: GatewayHarness) -> None:
            await _add_raw_server(
                harness,
                b'attempt-id: other\r\ncontent-length: 0\r\n',
                b'attempt-id: id1\r\ncontent-length: 9\r\n',
            )
            started_at = trio.current_time()
            answer = await harness.send_request('HEAD', '/writes/a')
            assert trio.current_time() < started_at + 0.3
            assert answer.status == 200

        run_scenario(scenario)


async def _add_raw_server(
    harness: GatewayHarness, *answer_fields: bytes
) -> None:
    """Start and register a server that sends answers to its first request.

    Args:
        harness: Gateway that forwards writes to the server.
        answer_fields: Header fields of each answer, without a body.
    """
    answers = [
        b'HTTP/1.1 200 OK\r\nresponse-signature: 1\r\n%s\r\n' % fields
        for fields in answer_fields
    ]

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(10_000)
        await stream.send_all(b''.join(answers))
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    harness.nursery.start_soon(trio.serve_listeners, serve, listeners)
    harness.register('writes', 's1', port)
