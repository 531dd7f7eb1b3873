"""Report of all benchmarks, run as ``python -m benchmarks._report``."""

import dataclasses
import json
import signal
import sys
from pathlib import Path
from typing import Final

import click

from benchmarks._report_page import describe_machine, render_page
from benchmarks._report_plot import draw_plot, make_panels
from benchmarks._report_rows import make_rows
from benchmarks._report_run import (
    ROOT,
    BenchmarkRun,
    benchmark_names,
    run_benchmark,
)

_DEFAULT_LIMIT_SECONDS: Final = 900


def save_run(run: BenchmarkRun, folder: Path) -> None:
    """Save a run as JSON, from which the page is written.

    Args:
        run: Run to save.
        folder: Directory of the documentation.
    """
    path = folder / 'measurements' / f'{run.name}.json'
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(dataclasses.asdict(run), indent=1)
    path.write_text(f'{text}\n')


def load_runs(folder: Path) -> list[BenchmarkRun]:
    """Return the saved runs, sorted by name.

    Args:
        folder: Directory of the documentation.
    """
    paths = sorted((folder / 'measurements').glob('*.json'))
    return [BenchmarkRun(**json.loads(path.read_text())) for path in paths]


def write_page(folder: Path) -> None:
    """Write the page of measurements and the plots of all saved runs.

    Args:
        folder: Directory of the documentation.
    """
    runs = load_runs(folder)
    plots = folder / 'plots'
    plots.mkdir(parents=True, exist_ok=True)
    drawn: list[str] = []
    for run in runs:
        panels = make_panels(make_rows(run.figures))
        if panels:
            draw_plot(
                f'{run.name}, seed {run.seed}',
                panels,
                plots / f'{run.name}.svg',
            )
            drawn.append(run.name)
    (folder / 'MEASUREMENTS.md').write_text(
        render_page(runs, drawn, describe_machine())
    )


@click.command()
@click.option('--only', multiple=True, help='Run these; keep the others.')
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--limit', default=_DEFAULT_LIMIT_SECONDS, help='Seconds for each run.'
)
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    default=ROOT / 'docs',
    help='Folder of the documentation.',
)
def main(only: tuple[str, ...], seed: int, limit: int, folder: Path) -> None:
    """Run the benchmarks and write the page of measurements."""
    # Unlike SIGTERM, an interrupt also ends the benchmark that is running.
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
