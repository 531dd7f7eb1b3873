"""Requests that are read late in the shutdown of a process.

Guards against requests with more time than the process has: they were passed on
and cut without an answer at its end, also those that may run only once.
"""

import pytest
import trio

from tests.gateway.harness import GatewayHarness

SECONDS_LEFT = 0.3


@pytest.mark.parametrize('service', ['reads', 'writes', 'keyed'])
class TestLateRequests:
    def test_refused(self, run_scenario, service: str) -> None:
        """A late request that may outlast the process is not passed on."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend(service, 's1', 1)
            harness.owners.server = harness.directory.of_service(service)[0]
            now = trio.current_time()
            harness.shutdown.begin(now, now + SECONDS_LEFT)
            answer = await harness.send_request(
                'POST', f'/{service}/a', shard_key='5'
            )
            assert answer.status == 503
            assert b'retry-after' in answer.headers
            assert not backend.arrivals.times

        run_scenario(scenario)

    def test_short_deadline(self, run_scenario, service: str) -> None:
        """A late request that ends before the process is served."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend(service, 's1', 0.05)
            harness.owners.server = harness.directory.of_service(service)[0]
            now = trio.current_time()
            harness.shutdown.begin(now, now + SECONDS_LEFT)
            answer = await harness.send_request(
                'POST', f'/{service}/a', shard_key='5', deadline_ms='200'
            )
            assert answer.status == 200

        run_scenario(scenario)

    def test_answered_before_the_end(self, run_scenario, service: str) -> None:
        """A request passed on earlier is answered before the process ends."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend(service, 's1', 5)
            harness.owners.server = harness.directory.of_service(service)[0]
            now = trio.current_time()
            harness.shutdown.begin(now + 1, now + SECONDS_LEFT)
            answer = await harness.send_request(
                'POST', f'/{service}/a', shard_key='5'
            )
            assert answer.status == 504
            assert trio.current_time() - now < SECONDS_LEFT + 0.2
            assert len(backend.requests) == 1
            sent = dict(backend.requests[0].headers)
            assert int(sent[b'deadline-ms']) <= SECONDS_LEFT * 1000

        run_scenario(scenario)
