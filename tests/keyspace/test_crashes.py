"""Quarantine of a repeated request that crashes every server it runs on."""

from dataclasses import replace

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway import CallerRequest, CrashTracker
from carobwalk.keyspace import LoadCollector
from carobwalk.keyspace._load_report import (
    LoadReceipt,
    LoadReport,
    ServerCrash,
)
from carobwalk.model import ProcessId, ServerId, TrioClock
from tests.gateway.test_choosers import make_request


class Fleet:
    """Processes that report crashes to a shared collector."""

    def __init__(self, count: int) -> None:
        self.collector = LoadCollector(TrioClock())
        self.collector.is_coordinator = True
        self.trackers = [CrashTracker() for _ in range(count)]

    async def report(self) -> None:
        """Send a report from each process and apply the receipt."""
        for number, tracker in enumerate(self.trackers):
            crashes = tuple(
                ServerCrash(
                    crash.fingerprint,
                    crash.incarnation.server,
                    crash.incarnation.born,
                )
                for crash in tracker.pop_crashes()
            )
            answered = await self.collector.answer(
                ProcessId(f'p{number}'),
                msgspec.msgpack.encode(LoadReport((), crashes)),
            )
            receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
            tracker.quarantine(receipt.culprits)

    def crash(self, process: int, server: int, *running: CallerRequest) -> None:
        """Crash a server while requests of a process run on it."""
        incarnation = ServerIncarnation(ServerId(f's{server}'), 1)
        for request in running:
            self.trackers[process].record_lost_connection(request, incarnation)
        self.trackers[process].record_refused_connection(incarnation)


def run_scenario(scenario) -> None:
    """Run a scenario in virtual time."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


class TestCulprit:
    def test_refused_everywhere(self) -> None:
        """After three crashes at three processes all refuse the request."""

        async def scenario() -> None:
            fleet = Fleet(4)
            culprit = make_request(b'crash')
            for number in range(3):
                assert not fleet.trackers[3].is_quarantined(culprit)
                repeat = replace(culprit, id=f'repeat{number}'.encode())
                fleet.crash(number, number, repeat)
                await fleet.report()
            await fleet.report()
            for tracker in fleet.trackers:
                assert tracker.is_quarantined(culprit)

        run_scenario(scenario)

    def test_concurrent_requests(self) -> None:
        """Requests run with the culprit once or twice stay admitted."""

        async def scenario() -> None:
            fleet = Fleet(1)
            culprit = make_request(b'crash')
            concurrent = make_request(b'innocent')
            for number in range(3):
                running = (culprit, concurrent) if number < 2 else (culprit,)
                fleet.crash(0, number, *running)
            await fleet.report()
            await fleet.report()
            assert fleet.trackers[0].is_quarantined(culprit)
            assert not fleet.trackers[0].is_quarantined(concurrent)
            other_caller = replace(culprit, caller='10.0.0.9')
            assert not fleet.trackers[0].is_quarantined(other_caller)

        run_scenario(scenario)

    def test_lost_connections(self) -> None:
        """A connection lost while its server keeps running is not a crash."""

        async def scenario() -> None:
            fleet = Fleet(1)
            request = make_request(b'a')
            for number in range(5):
                incarnation = (ServerId(f's{number}'), 1)
                fleet.trackers[0].record_lost_connection(request, incarnation)
                await trio.sleep(5)
                fleet.trackers[0].record_refused_connection(incarnation)
            await fleet.report()
            await fleet.report()
            assert not fleet.trackers[0].is_quarantined(request)

        run_scenario(scenario)

    def test_expiry(self) -> None:
        """The quarantine expires some time after the last crash."""

        async def scenario() -> None:
            fleet = Fleet(1)
            request = make_request(b'a')
            for number in range(3):
                fleet.crash(0, number, request)
            await fleet.report()
            await fleet.report()
            assert fleet.trackers[0].is_quarantined(request)
            await trio.sleep(130)
            await fleet.report()
            assert not fleet.trackers[0].is_quarantined(request)

        run_scenario(scenario)
