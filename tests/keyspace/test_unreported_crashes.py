"""Crashes of servers while no coordinator takes reports."""

import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory, ServerIncarnation
from carobwalk.events import NullEventLog
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
from carobwalk.model import ServerId, TrioClock
from carobwalk.shares import ProcessShare
from tests.gateway.test_choosers import make_request
from tests.keyspace.fleet_links import PeerLinks


class TestNoCoordinator:
    def test_crash_is_kept(self, virtual_clock: MockClock) -> None:
        """A crash is reported once there is a coordinator."""

        async def body() -> int:
            log = NullEventLog()
            directory = ServerDirectory(TrioClock(), log)
            tracker = CrashTracker()
            reader = KeyReader(log)
            share = ProcessShare()
            reporter = LoadReporter(
                PeerLinks(),
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
            incarnation = ServerIncarnation(ServerId('s1'), 1)
            tracker.record_lost_connection(make_request(b'a'), incarnation)
            tracker.record_refused_connection(incarnation)
            with trio.move_on_after(0.4):
                await reporter.run()
            return len(tracker.pop_crashes())

        assert trio.run(body, clock=virtual_clock) == 1
