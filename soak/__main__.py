"""Entry point of ``python -m soak``."""

import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click
import trio

from soak._plan import PLANS_BY_NAME, SoakPlan
from soak._planted import PLANTED_BY_NAME
from soak._run import SoakOutcome, run_seed

_DIRECTORY = Path('var') / 'soak'


def _plan_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options for the plan of a seed."""
    routers = click.option('--routers', default=3, help='Processes of a seed.')
    plan = click.option(
        '--plan',
        type=click.Choice(sorted(PLANS_BY_NAME)),
        default='general',
        help='Faults of a seed.',
    )
    return routers(plan(function))


@click.command()
@click.option('--seeds', default='1:11', help='First seed and end, FIRST:END.')
@click.option('--at-once', default=3, help='Seeds that run side by side.')
@_plan_options
@click.option(
    '--planted',
    type=click.Choice(sorted(PLANTED_BY_NAME)),
    help='Rule of the product that is switched off.',
)
def main(
    seeds: str,
    at_once: int,
    routers: int,
    plan: str,
    planted: str | None,
) -> None:
    """Run seeds and tell the promises that were broken."""
    first, _, end = seeds.partition(':')
    module = ('soak.planted', planted) if planted else ('carobwalk.platform',)
    sized_plan = replace(PLANS_BY_NAME[plan], routers=routers, module=module)
    directory = _DIRECTORY / time.strftime('%Y%m%d-%H%M%S')
    runner = _SeedRunner(sized_plan, directory.absolute())
    numbers = range(int(first), int(end))
    sys.exit(trio.run(runner.run, numbers, at_once))


class _SeedRunner:
    """Runs seeds concurrently and prints their results."""

    def __init__(self, plan: SoakPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._outcomes: list[SoakOutcome] = []

    async def run(self, seeds: range, at_once: int) -> int:
        """Run all seeds; return the number of failed ones."""
        limit = trio.CapacityLimiter(at_once)
        async with trio.open_nursery() as nursery:
            for seed in seeds:
                nursery.start_soon(self._run_one, seed, limit)
        failed = sum(1 for outcome in self._outcomes if outcome.violations)
        faults = sum(one.faults.total() for one in self._outcomes)
        answers = sum(one.answers_by_status.total() for one in self._outcomes)
        click.echo(
            f'{len(seeds)} seeds, {faults} faults, {answers} answers, '
            f'{failed} seeds with broken promises; logs in {self._directory}',
        )
        return failed

    async def _run_one(self, seed: int, limit: trio.CapacityLimiter) -> None:
        async with limit:
            directory = self._directory / str(seed)
            directory.mkdir(parents=True)
            outcome = await run_seed(seed, self._plan, directory)
        report = '\n'.join(outcome.violations)
        (directory / 'violations.txt').write_text(report)
        self._outcomes.append(outcome)
        click.echo(
            f'seed {seed}: faults={outcome.faults.total()} '
            f'answers={dict(sorted(outcome.answers_by_status.items()))} '
            f'recovery={outcome.recovery} s '
            f'freezes={outcome.freezes} '
            f'refusals={dict(outcome.refusals)} '
            f'broken={len(outcome.violations)}',
        )
        for line in outcome.violations:
            click.echo(f'  {line}')


if __name__ == '__main__':
    main()
