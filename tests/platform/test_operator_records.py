"""Evacuations as a process follows their records in the store."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import Evacuations
from carobwalk.events import NullEventLog
from carobwalk.model import DataCentreName, TrioClock
from carobwalk.platform import (
    CONFIGURATION_PREFIX,
    ConfigurationReader,
    EvacuationReader,
    OperatorReader,
)
from carobwalk.routing import ActiveRoutes
from carobwalk.store import RecordFollower
from standins.platform import KvStore
from tests.gateway.harness import CONFIGURATION
from tests.keyspace.fleet_links import StoreLink

DC = DataCentreName('dc1')
RECORD = 'op/evacuate/dc1'
# Longer than a watch of 25 s, so that the follower knows of a lost link.
OUTAGE_SECONDS = 30


class Follower:
    """A process that follows the operator's records.

    Args:
        store: The key-value service.
        nursery: Nursery that the process runs in.
    """

    def __init__(self, store: KvStore, nursery: trio.Nursery) -> None:
        clock = TrioClock()
        log = NullEventLog()
        self.link = StoreLink(store)
        self.evacuations = Evacuations(clock, log)
        self.routes = ActiveRoutes(log)
        follower = RecordFollower(
            self.link,  # type: ignore[arg-type]
            CONFIGURATION_PREFIX,
            OperatorReader(
                EvacuationReader(
                    self.evacuations, lambda: follower.records.proved_at
                ),
                ConfigurationReader(self.routes),
            ),
            clock,
            log,
        )
        self.records = follower.records
        nursery.start_soon(follower.run)
        nursery.start_soon(self._maintain)

    async def _maintain(self) -> None:
        """Expire evacuations as the maintenance of a process does."""
        while True:
            await trio.sleep(0.25)
            self.evacuations.expire()


Scenario = Callable[[KvStore, trio.Nursery], Awaitable[None]]


@pytest.fixture
def run(virtual_clock: MockClock) -> Callable[[Scenario], None]:
    """Return a function that runs a scenario with a store."""

    def run_scenario(scenario: Scenario) -> None:
        async def body() -> None:
            async with trio.open_nursery() as nursery:
                store = KvStore()
                (await store.write('op/config', CONFIGURATION, 0)).unwrap()
                await scenario(store, nursery)
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

    return run_scenario


async def _evacuate(store: KvStore) -> int:
    """Write the record and return its revision."""
    return (await store.write(RECORD, b'any \xff', 0)).unwrap()


class TestEvacuationRecords:
    def test_written_and_removed(self, run) -> None:
        """An evacuation lasts from the writing to the removal of its record."""

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            assert not process.evacuations.data_centres
            assert process.routes.version == 7
            revision = await _evacuate(store)
            await trio.sleep(0.5)
            assert process.evacuations.data_centres == {DC}
            assert process.evacuations.accepts_keyed_requests(DC)
            (await store.remove(RECORD, revision)).unwrap()
            await trio.sleep(0.5)
            assert not process.evacuations.data_centres

        run(scenario)

    def test_restart(self, run) -> None:
        """A process that starts during an evacuation takes it for old.

        Guards against a restart that prolongs the requests for keys.
        """

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            await _evacuate(store)
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            assert process.evacuations.data_centres == {DC}
            assert not process.evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_store_unavailable(self, run) -> None:
        """An evacuation goes on while the store does not answer.

        Guards against work for the data centre during an outage, and after
        it until the records are listed.
        """

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            await _evacuate(store)
            await trio.sleep(0.5)
            store.is_down = True
            for _ in range(OUTAGE_SECONDS * 2):
                await trio.sleep(0.5)
                assert process.evacuations.data_centres == {DC}
            store.is_down = False
            await trio.sleep(5)
            assert process.evacuations.data_centres == {DC}

        run(scenario)

    def test_written_while_cut_off(self, run) -> None:
        """A process that was cut off takes what it finds for old.

        Guards against requests for keys more than 5 s after the record.
        """

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            process.link.is_cut = True
            await trio.sleep(OUTAGE_SECONDS)
            await _evacuate(store)
            await trio.sleep(OUTAGE_SECONDS)
            assert not process.evacuations.data_centres
            process.link.is_cut = False
            with trio.fail_after(OUTAGE_SECONDS):
                while not process.evacuations.data_centres:
                    await trio.sleep(0.05)
            assert not process.evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_removed_while_cut_off(self, run) -> None:
        """An evacuation that ended during an outage ends with the listing."""

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            revision = await _evacuate(store)
            await trio.sleep(0.5)
            process.link.is_cut = True
            await trio.sleep(OUTAGE_SECONDS)
            (await store.remove(RECORD, revision)).unwrap()
            assert process.evacuations.data_centres == {DC}
            process.link.is_cut = False
            await trio.sleep(OUTAGE_SECONDS)
            assert not process.evacuations.data_centres

        run(scenario)

    def test_written_again_after_outage(self, run) -> None:
        """An evacuation goes on if its record returns 2 s after an outage.

        Guards against work for the data centre while a restored store lacks
        the record.
        """

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            revision = await _evacuate(store)
            await trio.sleep(0.5)
            process.link.is_cut = True
            await trio.sleep(OUTAGE_SECONDS)
            (await store.remove(RECORD, revision)).unwrap()
            process.link.is_cut = False
            reachable_at = trio.current_time()
            while process.records.proved_at < reachable_at:
                await trio.sleep(0.01)
            for tenths in range(100):
                if tenths == 20:
                    await _evacuate(store)
                assert process.evacuations.data_centres == {DC}
                await trio.sleep(0.1)
            assert not process.evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_without_name(self, run) -> None:
        """A record that names no data centre is ignored."""

        async def scenario(store: KvStore, nursery: trio.Nursery) -> None:
            process = Follower(store, nursery)
            await trio.sleep(0.5)
            (await store.write('op/evacuate/', b'', 0)).unwrap()
            (await store.write('op/other', b'', 0)).unwrap()
            await trio.sleep(0.5)
            assert not process.evacuations.data_centres

        run(scenario)
