"""Report of all benchmarks: ``python -m benchmarks._report``."""

import dataclasses
import json
import signal
import sys
from pathlib import Path
from typing import Final

import click

from benchmarks._report_page import machine, page
from benchmarks._report_plot import draw, panels_of
from benchmarks._report_rows import rows_of
from benchmarks._report_run import (
    ROOT,
    BenchmarkRun,
    benchmark_names,
    run_benchmark,
)

_LIMIT_SECONDS: Final = 900


def save_run(run: BenchmarkRun, folder: Path) -> None:
    """Keep a run for later pages.

    Args:
        run: The run.
        folder: Folder of the documentation.
    """
    path = folder / 'measurements' / f'{run.name}.json'
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(dataclasses.asdict(run), indent=1)
    path.write_text(f'{text}\n')


def load_runs(folder: Path) -> list[BenchmarkRun]:
    """Return the kept runs by name.

    Args:
        folder: Folder of the documentation.
    """
    paths = sorted((folder / 'measurements').glob('*.json'))
    return [BenchmarkRun(**json.loads(path.read_text())) for path in paths]


def write_page(folder: Path) -> None:
    """Write the page and the plots of the kept runs.

    Args:
        folder: Folder of the documentation.
    """
    runs = load_runs(folder)
    plots = folder / 'plots'
    plots.mkdir(parents=True, exist_ok=True)
    drawn: list[str] = []
    for run in runs:
        panels = panels_of(rows_of(run.figures))
        if panels:
            draw(
                f'{run.name}, seed {run.seed}',
                panels,
                plots / f'{run.name}.svg',
            )
            drawn.append(run.name)
    (folder / 'MEASUREMENTS.md').write_text(page(runs, drawn, machine()))


@click.command()
@click.option('--only', multiple=True, help='Run these; keep the others.')
@click.option('--seed', default=1, show_default=True)
@click.option('--limit', default=_LIMIT_SECONDS, help='Seconds for each run.')
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    default=ROOT / 'docs',
    help='Folder of the documentation.',
)
def main(only: tuple[str, ...], seed: int, limit: int, folder: Path) -> None:
    """Run the benchmarks and write the page of measurements."""
    # An interrupt, unlike SIGTERM, ends the running benchmark as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    names = only or tuple(benchmark_names(ROOT / 'benchmarks'))
    verdicts: list[str] = []
    for name in names:
        run = run_benchmark(name, seed, limit)
        save_run(run, folder)
        verdicts.append(run.verdict)
        click.echo(f'{name}: {run.verdict}, {run.seconds} s')
    write_page(folder)
    sys.exit(0 if set(verdicts) == {'met'} else 1)


if __name__ == '__main__':
    main()
