"""Operators who race while processes, links and the store fail."""

import random
from dataclasses import dataclass

import trio

from benchmarks._config_faults import Breaker
from benchmarks._config_findings import LIMIT_SECONDS, Findings, Replay, Witness
from benchmarks._config_fleet import Fleet
from benchmarks._config_operators import Operators
from benchmarks._scheduling import make_scheduling_repeatable
from carobwalk.profiles import Change, ConfigurationHistory
from standins.memory_store import MemoryStoreClient

_SETTLE_SECONDS = 8
_OPERATORS = ('ana', 'bo', 'cy', 'dee')


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialSettings:
    """Size of a trial.

    Args:
        seed: Seed of all choices.
        processes: Number of processes.
        changes: Accepted changes to reach.
        pause: Mean pause of an operator between writes, in seconds.
        breaks: Whether things break.
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
        findings: What was seen.
        lost: Accepted writes that are lost or doubled, and the like.
        reverted: Changes that were undone quietly.
        seconds: Length of the run on the virtual clock.
        spread_calls: Calls of all followers to the store.
        operator_calls: Reads and writes of the store by operators.
        asks: Questions between processes.
        asked_bytes: Bytes of the questions and answers.
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
    """Run a trial on the clock of the event loop."""
    make_scheduling_repeatable(settings.seed)
    witness = Witness()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            settings.processes,
            settings.seed,
            nursery,
            witness.note,
        )
        fleet.watchers = frozenset(('entry-000', 'entry-004'))
        for endpoint in fleet.endpoints:
            fleet.start(endpoint)
        seconds = await _race(settings, fleet, witness)
        spread_calls = fleet.spread_calls()
        operator_calls = fleet.operator_calls()
        replay = await _replay(fleet, witness)
        nursery.cancel_scope.cancel()
    return TrialReport(
        findings=witness.findings,
        lost=tuple(replay.lost),
        reverted=tuple(replay.reverted),
        seconds=seconds,
        spread_calls=spread_calls,
        operator_calls=operator_calls,
        asks=fleet.wire.asks,
        asked_bytes=fleet.wire.bytes,
    )


async def _race(
    settings: TrialSettings,
    fleet: Fleet,
    witness: Witness,
) -> float:
    """Let operators write until enough changes were accepted."""
    generator = random.Random(settings.seed)
    findings = witness.findings
    operators = Operators(fleet, generator, findings, settings.pause)
    breaker = Breaker(fleet, generator)
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        if settings.breaks:
            nursery.start_soon(breaker.run)
        nursery.start_soon(_check_delays, fleet, witness)
        async with trio.open_nursery() as writers:
            for name in _OPERATORS:
                writers.start_soon(operators.operate, name, settings.changes)
        seconds = trio.current_time() - started
        await trio.sleep(LIMIT_SECONDS + 1)
        nursery.cancel_scope.cancel()
    breaker.repair()
    await trio.sleep(_SETTLE_SECONDS)
    return seconds


async def _check_delays(fleet: Fleet, witness: Witness) -> None:
    """Check each accepted change once its time is over."""
    checked = 0
    while True:
        await trio.sleep(LIMIT_SECONDS / 40)
        accepted = list(witness.findings.accepted.values())
        for at, revision in accepted[checked:]:
            if trio.current_time() < at + LIMIT_SECONDS:
                break
            checked += 1
            for process in fleet.processes.values():
                witness.check_spread(process, at, revision)


async def _replay(fleet: Fleet, witness: Witness) -> Replay:
    """Replay the history of a run that was mended, and check the end."""
    processes = list(fleet.processes.values())
    history = await _read_history(processes[0].store)
    held = [process.follower.configuration() for process in processes]
    replay = Replay(history)
    replay.check(witness.findings, held[0])
    if {one.revision for one in held} != {len(history)}:
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
