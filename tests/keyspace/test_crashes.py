"""Pattern: one request crashes each server that runs it, and comes again."""

from dataclasses import replace

import msgspec
import trio
from trio.testing import MockClock

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
    """Processes that report crashes to one collector."""

    def __init__(self, count: int) -> None:
        self.collector = LoadCollector(TrioClock())
        self.collector.is_coordinator = True
        self.suspects = [CrashTracker() for _ in range(count)]

    async def report(self) -> None:
        """Let each process report and take the answer."""
        for number, suspects in enumerate(self.suspects):
            crashes = tuple(
                ServerCrash(crash.fingerprint, *crash.incarnation)
                for crash in suspects.take_crashes()
            )
            answered = await self.collector.answer(
                ProcessId(f'p{number}'),
                msgspec.msgpack.encode(LoadReport((), crashes)),
            )
            receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
            suspects.quarantine(receipt.culprits)

    def crash(self, process: int, server: int, *running: CallerRequest) -> None:
        """Let a server crash while a process has requests on it."""
        life = (ServerId(f's{server}'), 1)
        for request in running:
            self.suspects[process].record_lost_connection(request, life)
        self.suspects[process].record_refused_connection(life)


def play(story) -> None:
    """Run a story in virtual time."""
    trio.run(story, clock=MockClock(autojump_threshold=0))


class TestCulprit:
    def test_refused_everywhere(self) -> None:
        """After three crashes, seen by three processes, all refuse it."""

        async def story() -> None:
            fleet = Fleet(4)
            culprit = make_request(b'crash')
            for number in range(3):
                assert not fleet.suspects[3].is_quarantined(culprit)
                repeat = replace(culprit, id=f'repeat{number}'.encode())
                fleet.crash(number, number, repeat)
                await fleet.report()
            await fleet.report()
            for suspects in fleet.suspects:
                assert suspects.is_quarantined(culprit)

        play(story)

    def test_others_beside_it(self) -> None:
        """Requests that ran beside it once or twice are served."""

        async def story() -> None:
            fleet = Fleet(1)
            culprit = make_request(b'crash')
            beside = make_request(b'innocent')
            for number in range(3):
                running = (culprit, beside) if number < 2 else (culprit,)
                fleet.crash(0, number, *running)
            await fleet.report()
            await fleet.report()
            assert fleet.suspects[0].is_quarantined(culprit)
            assert not fleet.suspects[0].is_quarantined(beside)
            other_caller = replace(culprit, caller='10.0.0.9')
            assert not fleet.suspects[0].is_quarantined(other_caller)

        play(story)

    def test_lost_answers(self) -> None:
        """A connection that is lost while its server lives proves nothing."""

        async def story() -> None:
            fleet = Fleet(1)
            request = make_request(b'a')
            for number in range(5):
                life = (ServerId(f's{number}'), 1)
                fleet.suspects[0].record_lost_connection(request, life)
                await trio.sleep(5)
                fleet.suspects[0].record_refused_connection(life)
            await fleet.report()
            await fleet.report()
            assert not fleet.suspects[0].is_quarantined(request)

        play(story)

    def test_ends(self) -> None:
        """The quarantine ends a while after the last crash."""

        async def story() -> None:
            fleet = Fleet(1)
            request = make_request(b'a')
            for number in range(3):
                fleet.crash(0, number, request)
            await fleet.report()
            await fleet.report()
            assert fleet.suspects[0].is_quarantined(request)
            await trio.sleep(130)
            await fleet.report()
            assert not fleet.suspects[0].is_quarantined(request)

        play(story)
