"""Requests that wait for capacity at a server whose keys move away."""

import trio
from trio.testing import MockClock

from carobwalk.gateway import KeyedChooser, Target
from tests.gateway.harness import SingleOwnerMap
from tests.gateway.test_choosers import ChooserHarness, make_request
from tests.keyspace.simulated_fleet import SERVICE


class TestMovedWhileQueued:
    def test_sent_to_next_owner(self) -> None:
        """A queued request goes to the server that owns its key by then.

        The former owner would reject it, and the repeat counts as a retry.
        """

        async def scenario() -> None:
            harness = ChooserHarness(2)
            former, following = harness.directory.all_servers()
            owners = SingleOwnerMap()
            owners.server = former
            load = harness.loads.of_keyed(former)
            while load.has_capacity:
                load.start()
            chooser = KeyedChooser(owners, harness.loads, harness.candidates)
            async with trio.open_nursery() as nursery:

                async def move() -> None:
                    await trio.sleep(0.05)
                    owners.server = following
                    await trio.sleep(0.02)
                    harness.loads.finish(former)

                nursery.start_soon(move)
                chosen = await chooser.choose(SERVICE, make_request(), 7)
            assert isinstance(chosen, Target)
            assert chosen.server == following

        trio.run(scenario, clock=MockClock(autojump_threshold=0))
