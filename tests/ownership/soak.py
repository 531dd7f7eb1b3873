"""Long randomised runs: ``python -m tests.ownership.soak --seeds 0:2000``."""

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
from tests.ownership.chaos import Chaos, Injected

FAULT_SECONDS: Final = 8
HEAL_LIMIT_SECONDS: Final = 20
DRIFT: Final = 0.004
# Coarser intervals make the runs cheap; the times to live are the default.
TIMES: Final = OwnershipTimes(
    heartbeat=0.12,
    silence_check=0.08,
    decision_interval=0.05,
)
WORKERS: Final = 2


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one run.

    Args:
        seed: Seed of the run.
        violations: Violations of single ownership or of the order of tokens.
        healed: Whether every shard had an owner after the faults.
        faults: Faults that were injected.
        epoch: Highest epoch that was reached.
    """

    seed: int
    violations: tuple[str, ...]
    healed: bool
    faults: tuple[Injected, ...]
    epoch: int


def run_seed(seed: int, rules: SafetyRules | None = None) -> SoakResult:
    """Run one seed under a virtual clock."""
    in_force = rules or SafetyRules()
    # Trio shuffles the tasks of a tick; a run depends on its seed alone.
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
        await fleet.wait_served()
        chaos = Chaos(fleet, nursery, seed)
        await chaos.run(FAULT_SECONDS)
        healed = True
        with trio.move_on_after(HEAL_LIMIT_SECONDS) as scope:
            await fleet.wait_served(HEAL_LIMIT_SECONDS * 2)
        healed = not scope.cancelled_caught
        violations = tuple(map(str, fleet.record.violations))
        epoch = max(token.epoch for token in fleet.record.tokens.values())
        faults = tuple(chaos.injected)
        nursery.cancel_scope.cancel()
    return SoakResult(seed, violations, healed, faults, epoch)


def run_seeds(seeds: Iterable[int]) -> list[SoakResult]:
    """Run seeds in worker processes of the test, in order."""
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
        result for result in results if result.violations or not result.healed
    ]
    for result in failed:
        click.echo(str(result))
    summary = {
        'runs': len(results),
        'faults': sum(len(result.faults) for result in results),
        'elections': sum(result.epoch for result in results),
        'violations': sum(len(result.violations) for result in results),
        'unhealed': [result.seed for result in results if not result.healed],
        'failed_seeds': [result.seed for result in failed],
        'seconds': round(time.monotonic() - started, 1),
        'ok': not failed,
    }
    click.echo(json.dumps(summary))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
