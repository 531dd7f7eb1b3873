"""Tests of the report: rows, verdicts, page, plots and saved runs."""

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from types import MappingProxyType
from typing import Any
from xml.etree import ElementTree as Tree

import pytest

from benchmarks._report import load_runs, save_run, write_page
from benchmarks._report_page import format_figure, render_page
from benchmarks._report_plot import (
    draw_plot,
    is_number,
    make_labels,
    make_panels,
)
from benchmarks._report_rows import Row, make_rows
from benchmarks._report_run import (
    ROOT,
    BenchmarkRun,
    benchmark_names,
    parse_last_object,
)

FIGURES: Mapping[str, Any] = MappingProxyType(
    {
        'bench': 'made-up',
        'seed': 3,
        'naive': {'bulk': {'lost': 7}},
        'product': {'bulk': {'lost': 0}},
        'target': {'lost': 0},
        'cases': [
            {'kind': 'crash', 'max_seconds': 0.5, 'naive_max_seconds': 9.0},
            {'kind': 'freeze', 'max_seconds': 0.7, 'naive_max_seconds': 8.0},
        ],
        'ok': True,
    }
)
RUN = BenchmarkRun(
    name='made_up',
    seed=3,
    date='2026-12-04 10:00',
    seconds=2.5,
    load=0.1,
    exit_code=0,
    figures=dict(FIGURES),
)


class TestRows:
    """Rows of the table of a benchmark."""

    def test_columns(self) -> None:
        """Baseline and product of the same quantity share a row."""
        rows = make_rows(FIGURES)
        assert rows[0] == Row(('bulk', 'lost'), {'baseline': 7, 'product': 0})
        assert rows[1] == Row(('lost',), {'target': 0})

    def test_list_of_cases(self) -> None:
        """List elements are named by their texts; key prefixes are columns."""
        rows = {row.path: row.by_column for row in make_rows(FIGURES)}
        assert rows['cases', 'crash', 'max_seconds'] == {
            'figure': 0.5,
            'baseline': 9.0,
        }

    def test_named_product(self) -> None:
        """A policy that ``product`` names gives the product's figures."""
        rows = make_rows({'product': 'fair', 'runs': {'fair': 1, 'naive': 2}})
        assert rows[-1] == Row(('runs',), {'product': 1, 'baseline': 2})

    def test_every_figure_is_kept(self) -> None:
        """No figure overwrites another one."""
        kept = sum(len(row.by_column) for row in make_rows(FIGURES))
        assert kept == 3 + 2 * 3


class TestVerdict:
    """Verdict of a run and parsing of its output."""

    @pytest.mark.parametrize(
        ('run', 'verdict'),
        [
            (RUN, 'met'),
            (replace(RUN, exit_code=1), 'not met'),
            (replace(RUN, figures={'ok': False}), 'not met'),
            (replace(RUN, figures={'lost': 0}), 'not met'),
            (replace(RUN, exit_code=None, figures={}), 'time limit'),
            (replace(RUN, exit_code=2, figures={}), 'no figures, exit code 2'),
        ],
    )
    def test_verdict(self, run: BenchmarkRun, verdict: str) -> None:
        """Only exit code 0 together with ``ok`` counts as met."""
        assert run.verdict == verdict

    @pytest.mark.parametrize('output', ['', 'no json', '[1]', '{"a": 1}\nend'])
    def test_output_without_object(self, output: str) -> None:
        """Output whose last line is not a JSON object has no figures."""
        assert not parse_last_object(output)

    def test_output_with_object(self) -> None:
        """Lines before the last one are ignored."""
        assert parse_last_object('at work\n{"ok": true}\n') == {'ok': True}

    def test_names(self) -> None:
        """Modules with a leading underscore are not benchmarks."""
        names = benchmark_names(ROOT / 'benchmarks')
        assert 'relay' in names
        assert not any(name.startswith('_') for name in names)


class TestPage:
    """Page of measurements."""

    def test_tables(self) -> None:
        """The page shows machine, commands, figures and existing plots."""
        text = render_page(
            [RUN, replace(RUN, name='other')], ['made_up'], '10 cores'
        )
        assert 'Machine: 10 cores.' in text
        assert '`make bench NAME=made_up SEED=3`' in text
        assert '| bulk | lost | 7 | 0 |  |  |' in text
        assert 'plots/made_up.svg' in text
        assert 'plots/other.svg' not in text

    @pytest.mark.parametrize(
        ('figure', 'text'),
        [
            (None, ''),
            (True, 'yes'),
            (0.123456, '0.1235'),
            (12, '12'),
            ([1, 2], '[1, 2]'),
            ('a|b', r'a\|b'),
        ],
    )
    def test_cells(self, figure: Any, text: str) -> None:
        """Each kind of figure is formatted for a table cell."""
        assert format_figure(figure) == text


class TestPlot:
    """Plots of the figures."""

    def test_equal_figures_give_equal_files(self, tmp_path: Path) -> None:
        """Equal figures give byte-identical, valid SVG files."""
        panels = make_panels(make_rows(FIGURES))
        paths = [tmp_path / 'first.svg', tmp_path / 'second.svg']
        for path in paths:
            draw_plot('made up', panels, path)
        first, second = (path.read_bytes() for path in paths)
        assert first == second
        assert Tree.fromstring(first).tag.endswith('svg')

    def test_panels(self) -> None:
        """Quantities with a baseline come first; single bars are omitted."""
        rows = [
            Row(('only',), {'target': 1}),
            Row(('alone',), {'figure': 1}),
            Row(('up', 'many'), {'figure': 1}),
            Row(('down', 'many'), {'figure': 2}),
            Row(('lost',), {'baseline': 7, 'product': 0}),
        ]
        assert list(make_panels(rows)) == ['lost', 'many']

    def test_labels(self) -> None:
        """Words that all rows of a panel share are omitted."""
        rows = [
            Row(('loads', '1', 'p99'), {'figure': 1}),
            Row(('loads', '2', 'p99'), {'figure': 2}),
        ]
        assert make_labels(rows) == ['1', '2']

    @pytest.mark.parametrize(
        'figure',
        [True, None, 'text', float('nan'), float('inf')],
    )
    def test_not_drawn(self, figure: Any) -> None:
        """Booleans, texts and non-finite numbers are not drawn."""
        assert not is_number(figure)


class TestReport:
    """Saved runs."""

    def test_rewrite_gives_equal_files(self, tmp_path: Path) -> None:
        """Page and plots depend only on the saved runs."""
        save_run(RUN, tmp_path)
        assert load_runs(tmp_path) == [RUN]
        write_page(tmp_path)
        names = ('MEASUREMENTS.md', 'plots/made_up.svg')
        first = [(tmp_path / name).read_bytes() for name in names]
        write_page(tmp_path)
        assert first == [(tmp_path / name).read_bytes() for name in names]
