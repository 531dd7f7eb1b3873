"""Random faults over coordinators: ``python -m tests.keyspace.owner_soak``."""

import json
import multiprocessing
import os
import random
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Final

import click
import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

from carobwalk.model import ServerId
from tests.keyspace.key_traffic import CHECKED_KEYS, KeyTraffic
from tests.keyspace.owner_faults import (
    FIRST_ROUTERS_BY_PLAN,
    KIND_NAMES_BY_PLAN,
    ORDERS_PLAN,
    REFUSALS_PLAN,
    REGISTRY_PLAN,
    SERVERS,
    START_PLAN,
    FaultKind,
    FaultTarget,
    fault_kinds,
    pause,
    start_in_trouble,
)
from tests.keyspace.owner_trace import trace_lines
from tests.keyspace.simulated_fleet import SimulatedFleet

FAULT_SECONDS: Final = 30
RECOVERY_LIMIT_SECONDS: Final = 25
# Longest pause between faults, in seconds; those of the start take longer.
MAX_FAULT_INTERVALS_BY_PLAN: Final = MappingProxyType(
    {
        ORDERS_PLAN: 1.0,
        REGISTRY_PLAN: 1.0,
        START_PLAN: 4.0,
        REFUSALS_PLAN: 1.0,
    }
)
# Least and longest usual delay of messages between processes, in seconds.
USUAL_PEER_DELAYS: Final = (0.001, 0.15)
WORKERS: Final = 2
NO_FAULTS: Final[frozenset[str]] = frozenset()
FaultsByName = dict[str, FaultKind]


@dataclass(frozen=True, slots=True)
class OwnerResult:
    """Outcome of one run.

    Args:
        seed: Seed of the run.
        violations: Keys that two servers held at the same time.
        fence_violations: Keys that were taken with a fence that did not rise.
        errors: Exceptions that a process raised.
        recovered: Whether all keys had owners soon after the faults ended.
        faults: Number of injected faults.
        terms: Number of terms that were started.
        moves: Number of moves that were recorded.
        trace: What happened before the first violation.
    """

    seed: int
    violations: tuple[str, ...]
    fence_violations: tuple[str, ...]
    errors: tuple[str, ...]
    recovered: bool
    faults: int
    terms: int
    moves: int
    trace: tuple[str, ...]

    @property
    def is_ok(self) -> bool:
        """Whether the run found nothing."""
        found = self.violations or self.fence_violations or self.errors
        return self.recovered and not found


def run_seed(
    seed: int,
    without: frozenset[str] = NO_FAULTS,
    plan: str = ORDERS_PLAN,
) -> OwnerResult:
    """Run one seed under a virtual clock.

    Args:
        seed: Seed of all random choices.
        without: Kinds of faults that are left out.
        plan: Name of the plan that faults are drawn from.
    """
    faults_by_name = {
        name: fault_kinds.find(name)
        for name in KIND_NAMES_BY_PLAN[plan]
        if name not in without
    }
    # Trio shuffles the tasks of a tick; seed it so that runs are reproducible.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    random.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_run, seed, faults_by_name, plan, clock=clock)


async def _run(
    seed: int, faults_by_name: FaultsByName, plan: str
) -> OwnerResult:
    generator = random.Random(seed)
    fleet = SimulatedFleet(SERVERS, CHECKED_KEYS)
    fleet.book.reach.checks_incarnation = False
    for number in range(0, SERVERS, 2):
        fleet.book.holders_by_id[ServerId(f's{number}')].clock_rate = 1
    logs = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        fleet.peers.delay = generator.uniform(*USUAL_PEER_DELAYS)
        target = FaultTarget(fleet, generator)
        for _ in range(FIRST_ROUTERS_BY_PLAN[plan]):
            target.start_router()
        nursery.start_soon(KeyTraffic(fleet, generator).run)
        nursery.start_soon(_collect_logs, fleet, logs)
        if plan == START_PLAN:
            nursery.start_soon(start_in_trouble, target)
        else:
            await fleet.wait_until_owned(10)
        longest_pause = MAX_FAULT_INTERVALS_BY_PLAN[plan]
        faults = await _inject(target, faults_by_name, longest_pause)
        recovered = await _wait_until_owned(fleet)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    events = [event for log in logs for event in log.events]
    names = [type(event).__name__ for event in events]
    books = tuple(fleet.books_by_service.values())
    return OwnerResult(
        seed=seed,
        violations=tuple(line for book in books for line in book.violations),
        fence_violations=tuple(
            line for book in books for line in book.fence_violations
        ),
        errors=tuple(target.errors),
        recovered=recovered,
        faults=faults,
        terms=names.count('TermStarted'),
        moves=names.count('KeysAssigned'),
        trace=_first_trace(fleet, target, logs),
    )


def _first_trace(
    fleet: SimulatedFleet, target: FaultTarget, logs: list
) -> tuple[str, ...]:
    """Return what happened before the first violation, if there is any."""
    for book in fleet.books_by_service.values():
        for line in (*book.violations, *book.fence_violations):
            lines = trace_lines(line, book.journal, target.journal, logs)
            return tuple(lines)
    return ()


async def _collect_logs(fleet: SimulatedFleet, logs: list) -> None:
    """Keep the logs of all processes, including those that have ended."""
    while True:
        for router in fleet.routers:
            if router.log not in logs:
                logs.append(router.log)
        await trio.sleep(0.1)


async def _inject(
    target: FaultTarget, faults_by_name: FaultsByName, longest_pause: float
) -> int:
    """Inject overlapping faults; return their number."""
    names = list(faults_by_name)
    count = 0
    end = trio.current_time() + FAULT_SECONDS
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            count += 1
            nursery.start_soon(
                faults_by_name[target.generator.choice(names)], target
            )
            await pause(target, 0, longest_pause)
    return count


async def _wait_until_owned(fleet: SimulatedFleet) -> bool:
    with trio.move_on_after(RECOVERY_LIMIT_SECONDS):
        while None in _owners(fleet):
            await trio.sleep(0.1)
        return True
    return False


def _owners(fleet: SimulatedFleet) -> set[ServerId | None]:
    """Return the owners of all checked keys, ``None`` if some have none."""
    books = fleet.books_by_service.values()
    return {book.owner(key) for book in books for key in CHECKED_KEYS}


def run_seeds(
    seeds: Iterable[int],
    without: frozenset[str] = NO_FAULTS,
    workers: int = WORKERS,
    plan: str = ORDERS_PLAN,
) -> list[OwnerResult]:
    """Run seeds in worker processes and return the results in order.

    The hashes of strings are the same in all of them: the order of sets
    decides which task starts first.

    Args:
        seeds: Seeds to run.
        without: Kinds of faults that are left out.
        workers: Number of processes.
        plan: Name of the plan that faults are drawn from.
    """
    os.environ['PYTHONHASHSEED'] = '0'
    context = multiprocessing.get_context('spawn')
    run = partial(run_seed, without=without, plan=plan)
    with context.Pool(workers) as pool:
        return list(pool.imap(run, seeds))


@click.command()
@click.option('--seeds', default='0:200', help='First seed : end.')
@click.option('--without', multiple=True, help='Kind of fault to leave out.')
@click.option('--plan', default=ORDERS_PLAN, help='Plan of the faults.')
@click.option('--trace', is_flag=True, help='Print the trace of each failure.')
def main(
    seeds: str, without: tuple[str, ...], plan: str, *, trace: bool
) -> None:
    """Run seeds and print a summary as JSON."""
    first, end = map(int, seeds.split(':'))
    started = time.monotonic()
    left_out = frozenset(without)
    results = run_seeds(range(first, end), left_out, plan=plan)
    failed = [result for result in results if not result.is_ok]
    for result in failed:
        found = (*result.violations, *result.fence_violations)
        click.echo(f'seed {result.seed}: {found[:1]} {result.errors}')
        if trace:
            click.echo('\n'.join(result.trace))
    summary = {
        'runs': len(results),
        'faults': sum(result.faults for result in results),
        'terms': sum(result.terms for result in results),
        'moves': sum(result.moves for result in results),
        'two_owners': [run.seed for run in results if run.violations],
        'fences': [run.seed for run in results if run.fence_violations],
        'errors': [run.seed for run in results if run.errors],
        'unhealed': [run.seed for run in results if not run.recovered],
        'seconds': round(time.monotonic() - started, 1),
        'ok': not failed,
    }
    click.echo(json.dumps(summary))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
