"""Retries of a large fleet whose processes have no common count.

Guards against a retry budget of all processes that each one takes an assumed
share of: service ``tien-do`` got 3281 retries in 10 s where 2998 were allowed.
"""

from collections import deque

import msgspec
import pytest
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
from carobwalk.model import ProcessId, ServiceName, TrioClock
from carobwalk.shares import ProcessShare

PROCESSES = 75
RULES = RetryRules(ratio=0.2, slack=190, window=10)
SERVICE = ServiceName('tien-do')
REQUEST_SECONDS = 0.5
FLEET_SECONDS = 45


class Process:
    """Retry budgets of a process and what it learns from receipts."""

    def __init__(self) -> None:
        share = ProcessShare()
        directory = ServerDirectory(TrioClock(), NullEventLog())
        self.local = LocalLoad(
            loads=LoadTable(directory, share),
            share=share,
            leaving=directory.leaving,
            crash_tracker=CrashTracker(),
            events=NullEventLog(),
        )
        self.budgets = RetryBudgets(RULES, self.local.share)


class Fleet:
    """Processes that retry each request as often as their budgets allow.

    Args:
        processes: Number of processes.
    """

    def __init__(self, processes: int = PROCESSES) -> None:
        self.processes = [Process() for _ in range(processes)]
        # Coordinators that processes reach, by the number of the process.
        self.collectors_by_number: dict[int, LoadCollector] = {}
        self.reach(LoadCollector(TrioClock()))
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def reach(self, collector: LoadCollector, share: float = 1) -> None:
        """Let a share of the processes reach a coordinator."""
        for number in range(int(len(self.processes) * share)):
            self.collectors_by_number[number] = collector

    def lose(self, share: float = 1) -> None:
        """Cut a share of the processes off from their coordinator."""
        for number in range(int(len(self.processes) * share)):
            self.collectors_by_number.pop(number, None)

    def restart(self, number: int) -> None:
        """Replace a process by a new one at the same host."""
        self.processes[number] = Process()

    async def run(self, seconds: float) -> None:
        """Let requests arrive at all processes and check each window."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(REQUEST_SECONDS)
            for number, process in enumerate(self.processes):
                await self._report(number, process)
                self._serve(process)
            self.check()

    def check(self) -> None:
        """Assert that the last window is within the budget."""
        start = trio.current_time() - RULES.window
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
        allowed = RULES.ratio * len(self.requests) + RULES.slack
        assert len(self.retries) <= allowed

    async def _report(self, number: int, process: Process) -> None:
        collector = self.collectors_by_number.get(number)
        if collector is None:
            return
        report = LoadReport((), (), process.local.share.sharers)
        answered = await collector.answer(
            ProcessId(f'p{number}'), msgspec.msgpack.encode(report)
        )
        process.local.apply(msgspec.msgpack.decode(answered, type=LoadReceipt))

    def _serve(self, process: Process) -> None:
        now = trio.current_time()
        process.budgets.count_request(SERVICE)
        self.requests.append(now)
        while process.budgets.spend(SERVICE):
            self.retries.append(now)


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


class TestFleetBudget:
    def test_without_coordinator(self, run) -> None:
        """Processes that no coordinator has counted stay within the budget."""

        async def scenario() -> None:
            fleet = Fleet()
            fleet.lose()
            await fleet.run(FLEET_SECONDS)

        run(scenario)

    def test_slack_is_used(self, run) -> None:
        """A fleet that is counted uses more than the share of its requests."""

        async def scenario() -> None:
            fleet = Fleet()
            await fleet.run(FLEET_SECONDS)
            ratio_only = RULES.ratio * len(fleet.requests)
            assert len(fleet.retries) > ratio_only

        run(scenario)

    @pytest.mark.parametrize('lost_share', [0.3, 0.5, 0.8])
    def test_partition(self, run, lost_share: float) -> None:
        """Processes that the coordinator can't reach keep to their share."""

        async def scenario() -> None:
            fleet = Fleet()
            await fleet.run(FLEET_SECONDS)
            coordinator = fleet.collectors_by_number[0]
            fleet.lose(lost_share)
            await fleet.run(FLEET_SECONDS)
            fleet.reach(coordinator)
            await fleet.run(FLEET_SECONDS)

        run(scenario)

    @pytest.mark.parametrize('reachable_share', [0.2, 0.6])
    def test_new_coordinator_in_partition(
        self, run, reachable_share: float
    ) -> None:
        """A coordinator that part of the processes reach adds no slack."""

        async def scenario() -> None:
            fleet = Fleet()
            await fleet.run(FLEET_SECONDS)
            coordinator = LoadCollector(TrioClock())
            fleet.lose()
            fleet.reach(coordinator, reachable_share)
            await fleet.run(FLEET_SECONDS)
            fleet.reach(coordinator)
            await fleet.run(FLEET_SECONDS)

        run(scenario)

    def test_restarts_in_turn(self, run) -> None:
        """Processes that restart one after the other add no slack."""

        async def scenario() -> None:
            fleet = Fleet()
            await fleet.run(FLEET_SECONDS)
            for number in range(0, PROCESSES, 3):
                fleet.restart(number)
                await fleet.run(REQUEST_SECONDS)
            await fleet.run(FLEET_SECONDS)

        run(scenario)

    def test_loss_of_all(self, run) -> None:
        """After a restart of all, only a counted share of slack is used."""

        async def scenario() -> None:
            fleet = Fleet()
            await fleet.run(FLEET_SECONDS)
            for number in range(PROCESSES):
                fleet.restart(number)
            fleet.lose()
            await fleet.run(2 * RULES.window)
            fleet.reach(LoadCollector(TrioClock()))
            await fleet.run(FLEET_SECONDS)

        run(scenario)
