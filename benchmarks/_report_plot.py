"""Plots of a benchmark's figures; the same figures give the same file."""

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


MOST_PANELS: Final = 12
_MOST_BARS: Final = 40
_ACROSS: Final = 3
_WIDTH_OF_BARS: Final = 3.0
_WIDTH_OF_LETTER: Final = 0.07
_HEIGHT_OF_BAR: Final = 0.16
_HEIGHT_OF_FRAME: Final = 0.9
_THICKNESS: Final = 0.8
_COLOURS: Final = MappingProxyType(
    {BASELINE: '#b0b0b0', PRODUCT: '#1f6f8b', FIGURE: '#1f6f8b'},
)

Panels = dict[str, list[Row]]


def is_number(figure: Any) -> bool:
    """Return whether a figure can be drawn."""
    if isinstance(figure, bool) or not isinstance(figure, int | float):
        return False
    return math.isfinite(figure)


def panels_of(rows: Iterable[Row]) -> Panels:
    """Return the rows that can be drawn, by quantity.

    Quantities with both baseline and product go first; those of one bar are
    left out.

    Args:
        rows: Rows of one benchmark.
    """
    panels: Panels = defaultdict(list)
    for row in rows:
        if any(is_number(row.by_column.get(column)) for column in _COLOURS):
            panels[row.quantity].append(row)
    telling = [name for name in panels if _is_telling(panels[name])]
    ordered = sorted(telling, key=lambda name: not _is_compared(panels[name]))
    return {name: panels[name][:_MOST_BARS] for name in ordered[:MOST_PANELS]}


def labels_of(rows: Sequence[Row]) -> list[str]:
    """Return the cases of a panel, without the words that all share.

    Args:
        rows: Rows of the panel.
    """
    shared = set(rows[0].path).intersection(*(row.path for row in rows))
    return [
        ' / '.join(name for name in row.path if name not in shared)
        for row in rows
    ]


def draw(title: str, panels: Panels, path: Path) -> None:
    """Write the plot of a benchmark as SVG.

    Args:
        title: Title of the plot.
        panels: Rows by quantity, one panel each; at least one.
        path: File to write.
    """
    across = min(_ACROSS, len(panels))
    down = math.ceil(len(panels) / across)
    most = max(len(rows) for rows in panels.values())
    longest = max(
        len(label) for rows in panels.values() for label in labels_of(rows)
    )
    width = _WIDTH_OF_BARS + longest * _WIDTH_OF_LETTER
    height = _HEIGHT_OF_FRAME + most * len(_COLOURS) * _HEIGHT_OF_BAR
    figure, axes = plt.subplots(
        down,
        across,
        figsize=(across * width, down * height + _HEIGHT_OF_FRAME),
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


def _is_telling(rows: list[Row]) -> bool:
    """Return whether there is more than one bar to see."""
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
    thickness = _THICKNESS / len(columns)
    for number, column in enumerate(columns):
        drawn = [
            (place + number * thickness, row.by_column[column])
            for place, row in enumerate(rows)
            if is_number(row.by_column.get(column))
        ]
        places, lengths = zip(*drawn, strict=True)
        axis.barh(
            places,
            lengths,
            height=thickness,
            color=_COLOURS[column],
        )
    middle = (len(columns) - 1) * thickness / 2
    axis.set_yticks(
        [place + middle for place in range(len(rows))],
        labels_of(rows),
    )
    axis.invert_yaxis()
    axis.set_title(quantity)
