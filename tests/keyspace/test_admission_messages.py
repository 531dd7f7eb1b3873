"""What receipts tell processes about overloaded owners of keys."""

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.gateway import CrashTracker, LoadTable
from carobwalk.keyspace import LoadCollector, LocalLoad
from carobwalk.keyspace._load_report import LoadReceipt, LoadReport
from carobwalk.model import ProcessId, ServiceName, TrioClock
from carobwalk.shares import ProcessShare
from tests.gateway.choice.admitting_fleet import make_request
from tests.keyspace.simulated_fleet import make_server
from tests.recording_log import RecordingLog

_REPORT = msgspec.msgpack.encode(LoadReport((), ()))
_CALLERS = 400


class _Process:
    """Process that applies receipts."""

    def __init__(self) -> None:
        self.log = RecordingLog()
        directory = ServerDirectory(TrioClock(), self.log)
        share = ProcessShare()
        self.local = LocalLoad(
            loads=LoadTable(directory, share),
            share=share,
            leaving=directory.leaving,
            crash_tracker=CrashTracker(),
            events=self.log,
        )

    async def report(self, collector: LoadCollector) -> None:
        """Report to a coordinator and apply its receipt."""
        answered = await collector.answer(ProcessId('p1'), _REPORT)
        receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
        self.local.apply(receipt)

    def admitted(self) -> set[str]:
        """Return the callers that are admitted now."""
        admission = self.local.loads.admission
        requests = [make_request(str(number)) for number in range(_CALLERS)]
        return {
            request.caller
            for request in requests
            if not admission.refusal(make_server(0), request)
        }


def _make_coordinator() -> LoadCollector:
    collector = LoadCollector(TrioClock())
    collector.is_coordinator = True
    shares = {make_server(0).incarnation: 0.3}
    collector.overloads.replace(ServiceName('x'), shares)
    return collector


class TestPhase:
    def test_same_turns(self, virtual_clock: MockClock) -> None:
        """Two processes admit the same callers at the same time.

        Otherwise a caller that returns in its turn is refused elsewhere.
        """

        async def main() -> None:
            await trio.sleep(5)
            collector = _make_coordinator()
            first, second = _Process(), _Process()
            await first.report(collector)
            await trio.sleep(0.1)
            await second.report(collector)
            before = first.admitted()
            assert before
            assert len(before) < _CALLERS / 2
            assert second.admitted() == before
            await trio.sleep(0.25)
            assert first.admitted() != before
            assert first.admitted() == second.admitted()

        trio.run(main, clock=virtual_clock)


class TestEvents:
    def test_begin_and_end(self, virtual_clock: MockClock) -> None:
        """The log tells once when an owner's requests are limited."""

        async def main() -> None:
            await trio.sleep(5)
            collector = _make_coordinator()
            process = _Process()
            for _ in range(3):
                await process.report(collector)
                await trio.sleep(0.25)
            began = process.log.named('AdmissionBegan')
            assert [(event.server, event.share) for event in began] == [
                ('s0', 0.3)
            ]
            assert not process.log.named('AdmissionEnded')
            collector.overloads.clear()
            await process.report(collector)
            assert len(process.log.named('AdmissionEnded')) == 1

        trio.run(main, clock=virtual_clock)
