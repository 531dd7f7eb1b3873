"""Trial of concurrent configuration changes under faults."""

import random
from dataclasses import dataclass

import trio

from benchmarks._config_faults import FaultInjector
from benchmarks._config_findings import (
    LIMIT_SECONDS,
    ConfigurationMonitor,
    Findings,
    HistoryReplay,
)
from benchmarks._config_fleet import Fleet
from benchmarks._config_operators import Operators
from benchmarks._scheduling import make_scheduling_repeatable
from carobwalk.profiles import Change, ConfigurationHistory
from standins.memory_store import MemoryStoreClient

_SETTLE_SECONDS = 8
_OPERATORS = ('ana', 'bo', 'cy', 'dee')


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialSettings:
    """Parameters of a trial.

    Args:
        seed: Seed of all random choices.
        processes: Number of processes.
        changes: Number of accepted changes after which the trial ends.
        pause: Mean pause of an operator between writes, in seconds.
        breaks: Whether faults are injected.
    """

    seed: int
    processes: int
    changes: int
    pause: float
    breaks: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialReport:
    """Outcome of a trial.

    Args:
        findings: Observations during the trial.
        lost: Descriptions of lost or duplicate writes and other contradictions
            to the history.
        reverted: Descriptions of changes that were silently undone.
        seconds: Duration on the virtual clock.
        spread_calls: Number of store calls by followers.
        operator_calls: Number of store reads and writes by operators.
        asks: Number of requests between processes.
        asked_bytes: Bytes of these requests and their answers.
    """

    findings: Findings
    lost: tuple[str, ...]
    reverted: tuple[str, ...]
    seconds: float
    spread_calls: int
    operator_calls: int
    asks: int
    asked_bytes: int


async def run_trial(settings: TrialSettings) -> TrialReport:
    """Run a trial on the clock of the event loop and return its report."""
    make_scheduling_repeatable(settings.seed)
    monitor = ConfigurationMonitor()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            settings.processes,
            settings.seed,
            nursery,
            monitor.record_event,
        )
        fleet.watchers = frozenset(('entry-000', 'entry-004'))
        for endpoint in fleet.endpoints:
            fleet.start(endpoint)
        seconds = await _run_operators(settings, fleet, monitor)
        spread_calls = fleet.spread_calls()
        operator_calls = fleet.operator_calls()
        replay = await _replay_history(fleet, monitor)
        nursery.cancel_scope.cancel()
    return TrialReport(
        findings=monitor.findings,
        lost=tuple(replay.lost),
        reverted=tuple(replay.reverted),
        seconds=seconds,
        spread_calls=spread_calls,
        operator_calls=operator_calls,
        asks=fleet.wire.asks,
        asked_bytes=fleet.wire.bytes,
    )


async def _run_operators(
    settings: TrialSettings,
    fleet: Fleet,
    monitor: ConfigurationMonitor,
) -> float:
    """Let operators write until enough changes were accepted.

    Returns:
        Seconds that this took.
    """
    generator = random.Random(settings.seed)
    findings = monitor.findings
    operators = Operators(fleet, generator, findings, settings.pause)
    fault_injector = FaultInjector(fleet, generator)
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        if settings.breaks:
            nursery.start_soon(fault_injector.run)
        nursery.start_soon(_check_delays, fleet, monitor)
        async with trio.open_nursery() as writers:
            for name in _OPERATORS:
                writers.start_soon(
                    operators.write_changes, name, settings.changes
                )
        seconds = trio.current_time() - started
        await trio.sleep(LIMIT_SECONDS + 1)
        nursery.cancel_scope.cancel()
    fault_injector.recover()
    await trio.sleep(_SETTLE_SECONDS)
    return seconds


async def _check_delays(fleet: Fleet, monitor: ConfigurationMonitor) -> None:
    """Check each accepted change once the time limit has passed."""
    checked = 0
    while True:
        await trio.sleep(LIMIT_SECONDS / 40)
        accepted = list(monitor.findings.accepted.values())
        for at, revision in accepted[checked:]:
            if trio.current_time() < at + LIMIT_SECONDS:
                break
            checked += 1
            for process in fleet.processes.values():
                monitor.check_spread(process, at, revision)


async def _replay_history(
    fleet: Fleet, monitor: ConfigurationMonitor
) -> HistoryReplay:
    """Replay the history after recovery and check the final state."""
    processes = list(fleet.processes.values())
    history = await _read_history(processes[0].store)
    configurations = [process.follower.configuration() for process in processes]
    replay = HistoryReplay(history)
    replay.check(monitor.findings, configurations[0])
    if {configuration.revision for configuration in configurations} != {
        len(history)
    }:
        replay.lost.append('a process lacks the last revision')
    return replay


async def _read_history(store: MemoryStoreClient) -> tuple[Change, ...]:
    history = ConfigurationHistory(store)
    changes: list[Change] = []
    before: int | None = None
    while before != 1:
        page = (await history.list_changes(before)).unwrap()
        if not page:
            break
        changes.extend(page)
        before = page[-1].revision
    return tuple(reversed(changes))
