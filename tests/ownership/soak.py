"""Randomised fault runs: ``python -m tests.ownership.soak --seeds 0:2000``."""

import json
import multiprocessing
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import click
import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

from carobwalk.ownership import OwnershipTimes, SafetyRules
from standins.fake_fleet import FakeFleet
from standins.fake_fleet_shape import FleetShape
from tests.ownership.chaos import Chaos, InjectedFault

FAULT_SECONDS: Final = 8
RECOVERY_LIMIT_SECONDS: Final = 20
DRIFT: Final = 0.004
# Longer intervals than the defaults reduce the cost of a run; the times to
# live are the defaults.
TIMES: Final = OwnershipTimes(
    heartbeat=0.12,
    election_check_interval=0.08,
    decision_interval=0.05,
)
WORKERS: Final = 2


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one run.

    Args:
        seed: Seed of the run.
        violations: Violations of single ownership or of the token order.
        recovered: Whether every shard had an owner within
            `RECOVERY_LIMIT_SECONDS` after the faults ended.
        faults: Injected faults.
        epoch: Highest epoch that a coordinator reached.
    """

    seed: int
    violations: tuple[str, ...]
    recovered: bool
    faults: tuple[InjectedFault, ...]
    epoch: int


def run_seed(seed: int, rules: SafetyRules | None = None) -> SoakResult:
    """Run one seed under a virtual clock."""
    in_force = rules or SafetyRules()
    # Trio shuffles the tasks of a tick; seed it so that runs are reproducible.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_run, seed, in_force, clock=clock)


async def _run(seed: int, rules: SafetyRules) -> SoakResult:
    shape = FleetShape(
        entries=1 + seed % 2,
        servers=2,
        shards_per_server=1,
        seed=seed,
        drift=DRIFT,
        times=TIMES,
        rules=rules,
    )
    async with trio.open_nursery() as nursery:
        fleet = FakeFleet(nursery, shape)
        fleet.start()
        await fleet.wait_until_served()
        chaos = Chaos(fleet, nursery, seed)
        await chaos.run(FAULT_SECONDS)
        recovered = True
        with trio.move_on_after(RECOVERY_LIMIT_SECONDS) as scope:
            await fleet.wait_until_served(RECOVERY_LIMIT_SECONDS * 2)
        recovered = not scope.cancelled_caught
        violations = tuple(map(str, fleet.record.violations))
        epoch = max(token.epoch for token in fleet.record.tokens.values())
        faults = tuple(chaos.injected)
        nursery.cancel_scope.cancel()
    return SoakResult(seed, violations, recovered, faults, epoch)


def run_seeds(seeds: Iterable[int]) -> list[SoakResult]:
    """Run seeds in worker processes and return the results in order."""
    context = multiprocessing.get_context('spawn')
    with context.Pool(WORKERS) as pool:
        return list(pool.imap(run_seed, seeds, chunksize=10))


@click.command()
@click.option('--seeds', default='0:2000', help='First seed : end.')
def main(seeds: str) -> None:
    """Run seeds and print a summary as JSON."""
    first, end = map(int, seeds.split(':'))
    started = time.monotonic()
    results = run_seeds(range(first, end))
    failed = [
        result
        for result in results
        if result.violations or not result.recovered
    ]
    for result in failed:
        click.echo(str(result))
    summary = {
        'runs': len(results),
        'faults': sum(len(result.faults) for result in results),
        'elections': sum(result.epoch for result in results),
        'violations': sum(len(result.violations) for result in results),
        'unhealed': [result.seed for result in results if not result.recovered],
        'failed_seeds': [result.seed for result in failed],
        'seconds': round(time.monotonic() - started, 1),
        'ok': not failed,
    }
    click.echo(json.dumps(summary))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
