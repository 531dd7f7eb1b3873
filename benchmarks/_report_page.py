"""Markdown page with the measurements of all benchmarks."""

import json
import os
import platform
from collections.abc import Iterable, Sequence
from typing import Any, Final

from benchmarks._report_rows import COLUMNS, Row, make_rows
from benchmarks._report_run import BenchmarkRun

_DECIMALS: Final = 4
_INTRODUCTION: Final = (
    '# Measurements',
    '',
    'Written by `make report` from the runs kept in `docs/measurements/`;'
    ' `make report NAME=relay` repeats one of them. A seed fixes the'
    ' inputs and faults of a benchmark; where tasks that are ready at the same'
    ' instant run in any order, figures can differ a little from run to run.'
    ' Figures in wall-clock time depend on the machine and its load.'
    ' Baseline and product are of the same run.',
    '',
)


def describe_machine() -> str:
    """Return cores, memory, system and Python version in one line."""
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    gigabytes = round(pages / 1e9)
    return (
        f'{os.cpu_count()} cores {platform.machine()}, {gigabytes} GB,'
        f' {platform.system()}, Python {platform.python_version()}'
    )


def render_page(
    runs: Sequence[BenchmarkRun], drawn: Iterable[str], host: str
) -> str:
    """Return the page of measurements as Markdown.

    Args:
        runs: Runs to show, one section each.
        drawn: Names of the benchmarks that have a plot.
        host: Description of the machine in one line.
    """
    plots = frozenset(drawn)
    lines = [*_INTRODUCTION, f'Machine: {host}.', '']
    lines.extend(_summary(runs))
    for run in runs:
        lines.extend(_section(run, has_plot=run.name in plots))
    return '\n'.join(lines)


def format_figure(figure: Any) -> str:
    """Return the text of a figure for a cell of a Markdown table.

    Args:
        figure: Value from the JSON object of a benchmark.
    """
    if figure is None:
        return ''
    if isinstance(figure, bool):
        return 'yes' if figure else 'no'
    if isinstance(figure, float):
        return f'{figure:.{_DECIMALS}g}'
    text = figure if isinstance(figure, str) else json.dumps(figure)
    return text.replace('|', r'\|')


def _summary(runs: Iterable[BenchmarkRun]) -> list[str]:
    head = (
        'benchmark',
        'target',
        'command',
        'date, UTC',
        'commit',
        'seconds',
        'load',
    )
    return _table(
        head,
        (
            (
                f'[{run.name}](#{run.name})',
                run.verdict,
                f'`{run.command}`',
                run.date,
                run.revision,
                format_figure(run.seconds),
                format_figure(run.load),
            )
            for run in runs
        ),
    )


def _section(run: BenchmarkRun, *, has_plot: bool) -> list[str]:
    lines = [
        f'## {run.name}',
        '',
        f'Target: {run.verdict}. `{run.command}`',
        '',
    ]
    rows = make_rows(run.figures)
    columns = [
        column
        for column in COLUMNS
        if any(column in row.by_column for row in rows)
    ]
    if rows:
        cells = (_cells(row, columns) for row in rows)
        lines.extend(_table(('case', 'quantity', *columns), cells))
    if has_plot:
        lines.extend((f'![{run.name}](plots/{run.name}.svg)', ''))
    return lines


def _cells(row: Row, columns: Iterable[str]) -> tuple[str, ...]:
    figures = (format_figure(row.by_column.get(column)) for column in columns)
    return (format_figure(row.case), format_figure(row.quantity), *figures)


def _table(
    head: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> list[str]:
    lines = [_line(head), _line('---' for _ in head)]
    lines.extend(_line(row) for row in rows)
    return [*lines, '']


def _line(cells: Iterable[str]) -> str:
    return ' | '.join(('', *cells, '')).strip()
