"""Pattern: the coordinator of a large fleet changes."""

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CrashTracker,
    LoadTable,
    RetryBudgets,
    RetryRules,
)
from carobwalk.keyspace import LoadCollector, LocalLoad
from carobwalk.keyspace._load_report import LoadReceipt, LoadReport
from carobwalk.model import ProcessId, TrioClock

PROCESSES = 71
REPORT = msgspec.msgpack.encode(LoadReport((), ()))
RULES = RetryRules(ratio=0.2, slack=182, window=10)


async def _report(collector: LoadCollector, number: int) -> LoadReceipt:
    answered = await collector.answer(ProcessId(f'p{number}'), REPORT)
    return msgspec.msgpack.decode(answered, type=LoadReceipt)


async def _report_all(collector: LoadCollector) -> list[LoadReceipt]:
    """Let all processes report once within a quarter of a second."""
    receipts = []
    for number in range(PROCESSES):
        receipts.append(await _report(collector, number))
        await trio.sleep(0.25 / PROCESSES)
    return receipts


class TestNewCoordinator:
    def test_shares_stay_as_they_were(self, virtual_clock: MockClock) -> None:
        """No process takes the whole allowance for its own meanwhile.

        A new coordinator once told the first reporters that they were few:
        each took the repeats and the slots of the whole fleet for its share.
        """

        async def body() -> None:
            directory = ServerDirectory(TrioClock(), NullEventLog())
            local = LocalLoad(
                loads=LoadTable(directory),
                budgets=RetryBudgets(RULES),
                suspects=CrashTracker(),
                events=NullEventLog(),
            )
            local.take(LoadReceipt(True, PROCESSES, ()))
            collector = LoadCollector(TrioClock())
            for _ in range(8):
                for receipt in await _report_all(collector):
                    local.take(receipt)
                    assert local.budgets.process_count == PROCESSES
                    assert local.loads.process_count == PROCESSES

        trio.run(body, clock=virtual_clock)

    def test_count_is_known_soon(self, virtual_clock: MockClock) -> None:
        """After a second the number is known, and it follows losses."""

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

    def test_second_term_counts_anew(self, virtual_clock: MockClock) -> None:
        """What was heard in an earlier term doesn't count."""

        async def body() -> None:
            collector = LoadCollector(TrioClock())
            for _ in range(5):
                await _report_all(collector)
            await trio.sleep(10)
            assert (await _report(collector, 0)).processes == 0

        trio.run(body, clock=virtual_clock)
