"""Plots of the figures of a benchmark; equal figures give equal files."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import matplotlib as mpl
from matplotlib import pyplot as plt
from matplotlib.patches import Patch

from benchmarks._report_rows import BASELINE, FIGURE, PRODUCT, Row

plt.switch_backend('svg')
mpl.rcParams['svg.hashsalt'] = 'carobwalk'
mpl.rcParams['font.size'] = 8


MAX_PANELS: Final = 12
_MAX_BARS: Final = 40
_PANELS_PER_ROW: Final = 3
_BARS_WIDTH_INCHES: Final = 3.0
_LETTER_WIDTH_INCHES: Final = 0.07
_BAR_HEIGHT_INCHES: Final = 0.16
_FRAME_HEIGHT_INCHES: Final = 0.9
_GROUP_THICKNESS: Final = 0.8
_COLOURS: Final = MappingProxyType(
    {BASELINE: '#b0b0b0', PRODUCT: '#1f6f8b', FIGURE: '#1f6f8b'},
)

Panels = dict[str, list[Row]]


def is_number(figure: Any) -> bool:
    """Return whether a figure is a finite number, which can be drawn."""
    if isinstance(figure, bool) or not isinstance(figure, int | float):
        return False
    return math.isfinite(figure)


def make_panels(rows: Iterable[Row]) -> Panels:
    """Return the rows to draw, grouped by quantity.

    Quantities with a baseline to compare with come first; quantities with a
    single bar are omitted.

    Args:
        rows: Rows of one benchmark.
    """
    panels: Panels = defaultdict(list)
    for row in rows:
        if any(is_number(row.by_column.get(column)) for column in _COLOURS):
            panels[row.quantity].append(row)
    shown = [name for name in panels if _has_several_bars(panels[name])]
    ordered = sorted(shown, key=lambda name: not _is_compared(panels[name]))
    return {name: panels[name][:_MAX_BARS] for name in ordered[:MAX_PANELS]}


def make_labels(rows: Sequence[Row]) -> list[str]:
    """Return the labels of a panel, without the words that all rows share.

    Args:
        rows: Rows of the panel.
    """
    shared = set(rows[0].path).intersection(*(row.path for row in rows))
    return [
        ' / '.join(name for name in row.path if name not in shared)
        for row in rows
    ]


def draw_plot(title: str, panels: Panels, path: Path) -> None:
    """Write the plot of a benchmark as SVG.

    Args:
        title: Title of the plot.
        panels: Rows by quantity, one panel each; at least one.
        path: File to write.
    """
    column_count = min(_PANELS_PER_ROW, len(panels))
    row_count = math.ceil(len(panels) / column_count)
    max_rows = max(len(rows) for rows in panels.values())
    longest_label = max(
        len(label) for rows in panels.values() for label in make_labels(rows)
    )
    width = _BARS_WIDTH_INCHES + longest_label * _LETTER_WIDTH_INCHES
    height = (
        _FRAME_HEIGHT_INCHES + max_rows * len(_COLOURS) * _BAR_HEIGHT_INCHES
    )
    figure, axes = plt.subplots(
        row_count,
        column_count,
        figsize=(
            column_count * width,
            row_count * height + _FRAME_HEIGHT_INCHES,
        ),
        squeeze=False,
        layout='constrained',
    )
    figure.suptitle(title)
    bars = [Patch(color=each, label=name) for name, each in _COLOURS.items()]
    figure.legend(handles=bars[:2], loc='outside lower center', ncols=2)
    for axis in axes.flat[len(panels) :]:
        axis.set_axis_off()
    for axis, (quantity, rows) in zip(axes.flat, panels.items(), strict=False):
        _draw_panel(axis, quantity, rows)
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)


def _has_several_bars(rows: list[Row]) -> bool:
    """Return whether the panel has more than one bar."""
    return len(rows) > 1 or _is_compared(rows)


def _is_compared(rows: Iterable[Row]) -> bool:
    return any(
        is_number(row.by_column.get(BASELINE))
        and any(is_number(row.by_column.get(own)) for own in (PRODUCT, FIGURE))
        for row in rows
    )


def _draw_panel(axis: Any, quantity: str, rows: list[Row]) -> None:
    columns = [
        column
        for column in _COLOURS
        if any(is_number(row.by_column.get(column)) for row in rows)
    ]
    thickness = _GROUP_THICKNESS / len(columns)
    for number, column in enumerate(columns):
        drawn = [
            (position + number * thickness, row.by_column[column])
            for position, row in enumerate(rows)
            if is_number(row.by_column.get(column))
        ]
        positions, lengths = zip(*drawn, strict=True)
        axis.barh(
            positions,
            lengths,
            height=thickness,
            color=_COLOURS[column],
        )
    middle = (len(columns) - 1) * thickness / 2
    axis.set_yticks(
        [position + middle for position in range(len(rows))],
        make_labels(rows),
    )
    axis.invert_yaxis()
    axis.set_title(quantity)
