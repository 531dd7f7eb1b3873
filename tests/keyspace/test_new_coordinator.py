"""Process counts after the coordinator of a large fleet changes."""

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CrashTracker,
    LoadTable,
)
from carobwalk.keyspace import LoadCollector, LocalLoad
from carobwalk.keyspace._load_report import LoadReceipt, LoadReport
from carobwalk.model import ProcessId, TrioClock
from carobwalk.shares import ProcessShare

PROCESSES = 71
REPORT = msgspec.msgpack.encode(LoadReport((), ()))


async def _report(collector: LoadCollector, number: int) -> LoadReceipt:
    answered = await collector.answer(ProcessId(f'p{number}'), REPORT)
    return msgspec.msgpack.decode(answered, type=LoadReceipt)


async def _report_all(collector: LoadCollector) -> list[LoadReceipt]:
    """Send one report from each process within a quarter of a second."""
    receipts = []
    for number in range(PROCESSES):
        receipts.append(await _report(collector, number))
        await trio.sleep(0.25 / PROCESSES)
    return receipts


class TestNewCoordinator:
    def test_shares_are_unchanged(self, virtual_clock: MockClock) -> None:
        """A change of coordinator does not enlarge any process's share.

        Guards against a new coordinator that counts only the first reporters:
        each took the retries and slots of the whole fleet as its share.
        """

        async def body() -> None:
            directory = ServerDirectory(TrioClock(), NullEventLog())
            share = ProcessShare()
            local = LocalLoad(
                loads=LoadTable(directory, share),
                share=share,
                leaving=directory.leaving,
                crash_tracker=CrashTracker(),
                events=NullEventLog(),
            )
            local.apply(LoadReceipt(True, PROCESSES, (), PROCESSES))
            collector = LoadCollector(TrioClock())
            for _ in range(8):
                for receipt in await _report_all(collector):
                    local.apply(receipt)
                    assert local.share.sharers == PROCESSES
                    assert local.loads.process_count == PROCESSES

        trio.run(body, clock=virtual_clock)

    def test_count_is_known_soon(self, virtual_clock: MockClock) -> None:
        """The count is known after a second and drops with lost processes."""

        async def body() -> None:
            collector = LoadCollector(TrioClock())
            for _ in range(5):
                receipts = await _report_all(collector)
            assert receipts[-1].processes == PROCESSES
            for _ in range(16):
                await trio.sleep(0.25)
                receipt = await _report(collector, 0)
            assert receipt.processes == 1

        trio.run(body, clock=virtual_clock)

    def test_second_term(self, virtual_clock: MockClock) -> None:
        """Reports of an earlier term are not counted."""

        async def body() -> None:
            collector = LoadCollector(TrioClock())
            for _ in range(5):
                await _report_all(collector)
            await trio.sleep(10)
            assert (await _report(collector, 0)).processes == 0

        trio.run(body, clock=virtual_clock)
