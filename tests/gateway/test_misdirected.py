"""Requests that the owner of their key refuses as misdirected.

Guards against sending a request again to an owner that has just answered 421:
the repeats used up the retry budget of all processes for the same answer.
"""

import trio

from carobwalk.model import ServerId
from standins.platform import Fault
from tests.gateway.harness import GatewayHarness

MANY = 1000
REQUESTS = 20
# Spread over less than the time after which an owner is asked again.
REQUEST_INTERVAL_SECONDS = 0.005
ASKED_AGAIN_SECONDS = 0.5


async def _set_owner(
    harness: GatewayHarness, name: str, fence: int, after: float = 0
) -> None:
    await trio.sleep(after)
    harness.owners.server = harness.directory.get(ServerId(name))
    harness.owners.fence = fence


class TestMisdirected:
    def test_same_owner_is_not_asked_again(self, run_scenario) -> None:
        """While the map is unchanged, a misdirected request is sent once."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'keyed', 's1', Fault.MISDIRECT, MANY
            )
            await _set_owner(harness, 's1', 1)
            answer = await harness.send_request(
                'GET', '/keyed/a', shard_key='5'
            )
            assert backend.arrivals.counts_by_id[b'id1'] == 1
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) > 0

        run_scenario(scenario)

    def test_other_requests_wait(self, run_scenario) -> None:
        """Further requests for the key are not sent for the same answer."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'keyed', 's1', Fault.MISDIRECT, MANY
            )
            await _set_owner(harness, 's1', 1)
            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(
                        harness.send_keyed, f'id{number}', '5', '150'
                    )
                    await trio.sleep(REQUEST_INTERVAL_SECONDS)
            # Those that were under way when the first answer arrived.
            assert backend.arrivals.counts_by_id.total() <= 5

        run_scenario(scenario)

    def test_other_keys_are_served(self, run_scenario) -> None:
        """A refusal of one key holds up no request for another key."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_faulty_backend(
                'keyed', 's1', Fault.MISDIRECT, 1
            )
            await _set_owner(harness, 's1', 1)
            await harness.send_keyed('id1', '5', '100')
            answer = await harness.send_keyed('id2', '6', '100')
            assert answer.status == 200
            assert backend.arrivals.counts_by_id[b'id2'] == 1

        run_scenario(scenario)

    def test_next_owner(self, run_scenario) -> None:
        """The request is sent to the next owner as soon as the map names it."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend(
                'keyed', 's1', Fault.MISDIRECT, MANY
            )
            await harness.add_backend('keyed', 's2')
            await _set_owner(harness, 's1', 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_set_owner, harness, 's2', 2, 0.05)
                answer = await harness.send_keyed('id1', '5', '500')
            assert answer.status == 200

        run_scenario(scenario)

    def test_new_grant_to_same_owner(self, run_scenario) -> None:
        """A newer grant to the same owner admits the request at once."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend('keyed', 's1', Fault.MISDIRECT, 1)
            await _set_owner(harness, 's1', 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_set_owner, harness, 's1', 2, 0.05)
                answer = await harness.send_keyed('id1', '5', '500')
            assert answer.status == 200

        run_scenario(scenario)

    def test_renewed_grant(self, run_scenario) -> None:
        """An owner whose lapsed grant was renewed is asked again later."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_faulty_backend('keyed', 's1', Fault.MISDIRECT, 1)
            await _set_owner(harness, 's1', 1)
            await harness.send_keyed('id1', '5', '100')
            await trio.sleep(ASKED_AGAIN_SECONDS)
            answer = await harness.send_keyed('id2', '5', '100')
            assert answer.status == 200

        run_scenario(scenario)
