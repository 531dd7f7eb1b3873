"""Tests of requests for keys with owners."""

from tests.gateway.harness import GatewayHarness


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
