"""Pure parts of the report: rows, page, plots, verdicts."""

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from types import MappingProxyType
from typing import Any
from xml.etree import ElementTree as Tree

import pytest

from benchmarks._report import load_runs, save_run, write_page
from benchmarks._report_page import page, shown
from benchmarks._report_plot import draw, is_number, labels_of, panels_of
from benchmarks._report_rows import Row, rows_of
from benchmarks._report_run import (
    ROOT,
    BenchmarkRun,
    benchmark_names,
    last_object,
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
    """Figures as rows."""

    def test_columns(self) -> None:
        """Baseline and product of one quantity stand in one row."""
        rows = rows_of(FIGURES)
        assert rows[0] == Row(('bulk', 'lost'), {'baseline': 7, 'product': 0})
        assert rows[1] == Row(('lost',), {'target': 0})

    def test_list_of_cases(self) -> None:
        """Elements of a list are named by their texts, prefixes are columns."""
        rows = {row.path: row.by_column for row in rows_of(FIGURES)}
        assert rows['cases', 'crash', 'max_seconds'] == {
            'figure': 0.5,
            'baseline': 9.0,
        }

    def test_named_product(self) -> None:
        """A product that is one of several policies is found by its name."""
        rows = rows_of({'product': 'fair', 'runs': {'fair': 1, 'naive': 2}})
        assert rows[-1] == Row(('runs',), {'product': 1, 'baseline': 2})

    def test_every_figure_is_kept(self) -> None:
        """No figure is overwritten by another."""
        kept = sum(len(row.by_column) for row in rows_of(FIGURES))
        assert kept == 3 + 2 * 3


class TestVerdict:
    """How a run ended."""

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
    def test_no_object(self, output: str) -> None:
        """Output whose last line is no JSON object has no figures."""
        assert not last_object(output)

    def test_object(self) -> None:
        """Lines before the object are left out."""
        assert last_object('at work\n{"ok": true}\n') == {'ok': True}

    def test_names(self) -> None:
        """Helpers are no benchmarks."""
        names = benchmark_names(ROOT / 'benchmarks')
        assert 'relay' in names
        assert not any(name.startswith('_') for name in names)


class TestPage:
    """The page of measurements."""

    def test_tables(self) -> None:
        """Command, verdict and figures are on the page."""
        text = page([RUN, replace(RUN, name='other')], ['made_up'], '10 cores')
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
        """Each figure has a form that fits a cell."""
        assert shown(figure) == text


class TestPlot:
    """Plots."""

    def test_same_bytes(self, tmp_path: Path) -> None:
        """The same figures give the same valid file."""
        panels = panels_of(rows_of(FIGURES))
        paths = [tmp_path / 'first.svg', tmp_path / 'second.svg']
        for path in paths:
            draw('made up', panels, path)
        first, second = (path.read_bytes() for path in paths)
        assert first == second
        assert Tree.fromstring(first).tag.endswith('svg')

    def test_panels(self) -> None:
        """Compared quantities come first; single bars are left out."""
        rows = [
            Row(('only',), {'target': 1}),
            Row(('alone',), {'figure': 1}),
            Row(('up', 'many'), {'figure': 1}),
            Row(('down', 'many'), {'figure': 2}),
            Row(('lost',), {'baseline': 7, 'product': 0}),
        ]
        assert list(panels_of(rows)) == ['lost', 'many']

    def test_labels(self) -> None:
        """Words that all cases of a panel share are left out."""
        rows = [
            Row(('loads', '1', 'p99'), {'figure': 1}),
            Row(('loads', '2', 'p99'), {'figure': 2}),
        ]
        assert labels_of(rows) == ['1', '2']

    @pytest.mark.parametrize(
        'figure',
        [True, None, 'text', float('nan'), float('inf')],
    )
    def test_not_drawn(self, figure: Any) -> None:
        """Truth values, texts and infinities are no bars."""
        assert not is_number(figure)


class TestReport:
    """Kept runs."""

    def test_written_again(self, tmp_path: Path) -> None:
        """Page and plots follow from the kept runs alone."""
        save_run(RUN, tmp_path)
        assert load_runs(tmp_path) == [RUN]
        write_page(tmp_path)
        names = ('MEASUREMENTS.md', 'plots/made_up.svg')
        first = [(tmp_path / name).read_bytes() for name in names]
        write_page(tmp_path)
        assert first == [(tmp_path / name).read_bytes() for name in names]
