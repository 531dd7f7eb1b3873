"""Crashes of servers while no coordinator takes reports."""

import trio
from result import Ok, Result
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory, ServerIncarnation
from carobwalk.events import EventLog, NullEventLog
from carobwalk.gateway import (
    CrashTracker,
    LoadTable,
)
from carobwalk.keyspace import (
    KeyOwnerTable,
    KeyReader,
    LoadReporter,
    LocalLoad,
)
from carobwalk.model import Endpoint, ServerId, TrioClock
from carobwalk.shares import ProcessShare
from tests.gateway.test_choosers import make_request
from tests.keyspace.fleet_links import PeerLinks
from tests.keyspace.simulated_fleet import make_endpoint
from tests.recording_log import RecordingLog


class _OddPeers:
    """Connections to a coordinator that answers with no receipt."""

    async def ask(self, *arguments: object) -> Result[bytes, object]:
        """Return an answer that can't be decoded."""
        return Ok(b'\xc1')


def _make_reporter(
    tracker: CrashTracker,
    peers: object,
    coordinator: Endpoint | None,
    log: EventLog | None = None,
) -> LoadReporter:
    log = log or NullEventLog()
    directory = ServerDirectory(TrioClock(), log)
    reader = KeyReader(log)
    reader.coordinator = coordinator
    share = ProcessShare()
    return LoadReporter(
        peers,
        reader,
        KeyOwnerTable(reader, directory),
        LocalLoad(
            loads=LoadTable(directory, share),
            share=share,
            leaving=directory.leaving,
            crash_tracker=tracker,
            events=log,
        ),
    )


class TestOddReceipt:
    def test_ignored(self, virtual_clock: MockClock) -> None:
        """A receipt that can't be decoded leaves the crashes to be reported.

        Guards against the end of the process by an odd message of a peer.
        """
        log = RecordingLog()

        async def body() -> int:
            tracker = CrashTracker()
            reporter = _make_reporter(
                tracker, _OddPeers(), make_endpoint('a'), log
            )
            incarnation = ServerIncarnation(ServerId('s1'), 1)
            tracker.record_lost_connection(make_request(b'a'), incarnation)
            tracker.record_refused_connection(incarnation)
            with trio.move_on_after(0.4):
                await reporter.run()
            return len(tracker.pop_crashes())

        assert trio.run(body, clock=virtual_clock) == 1
        assert len(log.named('LoadReceiptDropped')) == 1


class TestNoCoordinator:
    def test_crash_is_kept(self, virtual_clock: MockClock) -> None:
        """A crash is reported once there is a coordinator."""

        async def body() -> int:
            tracker = CrashTracker()
            reporter = _make_reporter(tracker, PeerLinks(), None)
            incarnation = ServerIncarnation(ServerId('s1'), 1)
            tracker.record_lost_connection(make_request(b'a'), incarnation)
            tracker.record_refused_connection(incarnation)
            with trio.move_on_after(0.4):
                await reporter.run()
            return len(tracker.pop_crashes())

        assert trio.run(body, clock=virtual_clock) == 1
