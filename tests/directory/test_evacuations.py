"""Evacuated data centres, and until when owners of keys are sent requests."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import Evacuations, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.model import DataCentreName, TrioClock
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.recording_log import RecordingLog

DC = DataCentreName('dc1')
OTHER = DataCentreName('dc2')

Scenario = Callable[[Evacuations], Awaitable[None]]


@pytest.fixture
def log() -> RecordingLog:
    """Return the log of the evacuations."""
    return RecordingLog()


@pytest.fixture
def run(
    virtual_clock: MockClock, log: RecordingLog
) -> Callable[[Scenario], None]:
    """Return a function that runs a scenario with no evacuation known."""

    def run_scenario(scenario: Scenario) -> None:
        async def body() -> None:
            await scenario(Evacuations(TrioClock(), log))

        trio.run(body, clock=virtual_clock)

    return run_scenario


class TestKeyedRequests:
    """Requests to owners of keys in an evacuated data centre.

    Guards against requests that arrive there after the time allowed.
    """

    def test_first_part(self, run) -> None:
        """They are sent until 2 s before the end of the 5 s allowed."""

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.begin(DC, trio.current_time())
            assert evacuations.is_evacuated(DC)
            assert evacuations.accepts_keyed_requests(OTHER)
            await trio.sleep(2.95)
            assert evacuations.accepts_keyed_requests(DC)
            await trio.sleep(0.1)
            assert not evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_found_at_start(self, run) -> None:
        """None are sent if the age of the evacuation is unknown."""

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.replace([DC])
            assert not evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_learned_late(self, run) -> None:
        """A process that was cut off counts from its last proof instead."""

        async def scenario(evacuations: Evacuations) -> None:
            await trio.sleep(10)
            evacuations.begin(DC, trio.current_time() - 4)
            await trio.sleep(0.55)
            assert evacuations.accepts_keyed_requests(DC)
            await trio.sleep(0.1)
            assert not evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_written_again(self, run) -> None:
        """A record that is written again doesn't prolong the time."""

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.begin(DC, trio.current_time())
            await trio.sleep(2)
            evacuations.begin(DC, trio.current_time())
            evacuations.replace([DC], trio.current_time())
            await trio.sleep(1.1)
            assert not evacuations.accepts_keyed_requests(DC)

        run(scenario)

    def test_withdrawn(self, run, log) -> None:
        """The servers get requests again at once, and waiting tasks wake."""

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.begin(DC, trio.current_time())
            changed = evacuations.changed
            await trio.sleep(4)
            evacuations.end(DC)
            assert changed.is_set()
            assert not evacuations.is_evacuated(DC)
            assert evacuations.accepts_keyed_requests(DC)

        run(scenario)
        begun = log.named('EvacuationBegun')
        ended = log.named('EvacuationEnded')
        assert [event.keyed_seconds for event in begun] == [3]
        assert [(event.data_centre, event.seconds) for event in ended] == [
            (DC, 4)
        ]

    def test_replaced(self, run) -> None:
        """A listing ends the evacuations that it does not contain."""

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.begin(DC)
            evacuations.replace([OTHER])
            assert evacuations.data_centres == {OTHER}

        run(scenario)

    def test_missing_after_restore(self, run, log) -> None:
        """A record that a restored store lacks for a time ends nothing.

        Guards against an end by a second listing in that time, and against an
        evacuation that never ends if its record does not return.
        """

        async def scenario(evacuations: Evacuations) -> None:
            evacuations.begin(DC)
            evacuations.begin(OTHER)
            evacuations.replace([], after_outage=True)
            evacuations.replace([])
            await trio.sleep(3.5)
            evacuations.expire()
            assert evacuations.data_centres == {DC, OTHER}
            evacuations.begin(OTHER)
            await trio.sleep(0.6)
            evacuations.expire()
            assert evacuations.data_centres == {OTHER}

        run(scenario)
        assert len(log.named('EvacuationBegun')) == 2


def test_removed_server_hands_over(virtual_clock: MockClock) -> None:
    """A removed entry in an evacuated data centre is kept as any other.

    Guards against orders that find no server while its keys are handed over.
    """

    async def body() -> None:
        directory = ServerDirectory(TrioClock(), NullEventLog())
        directory.put(make_server(1), 1)
        directory.evacuations.begin(DC)
        directory.remove(make_server(1).id, 'test')
        directory.expire()
        assert len(directory.of_service(SERVICE)) == 1
        await trio.sleep(1.3)
        directory.expire()
        assert not directory.of_service(SERVICE)

    trio.run(body, clock=virtual_clock)
