"""Tests that an answer is never taken for that of another request."""

from carobwalk.model import ServerId
from carobwalk.platform import decode_configuration
from standins.platform import Fault
from tests.gateway.harness import CONFIGURATION, GatewayHarness

# Requests with a key are not idempotent.
_KEYED_WRITES = CONFIGURATION.replace(b'"r7"', b'"r8"').replace(
    b'{"name":"keyed","kind":"idempotent"',
    b'{"name":"keyed","kind":"non_idempotent"',
)


class TestRepeatedAnswers:
    # A refusal that is written twice counted as the refusal of the next send.
    def test_repeated_refusal(self, run_scenario) -> None:
        """A request resent after a refusal gets the answer of that send."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('keyed', 's1')
            backend.fault = Fault.REPEATED_REFUSAL
            backend.remaining_faults = 1
            harness.owners.server = harness.directory.get(ServerId('s1'))
            harness.routes.offer(
                decode_configuration(_KEYED_WRITES).ok_value, 2
            )
            answer = await harness.send_request(
                'POST', '/keyed/a', b'x', shard_key='5'
            )
            assert backend.runs_by_id == {b'id1': 1}
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
