"""Figures of a benchmark as rows of a table."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

BASELINE: Final = 'baseline'
PRODUCT: Final = 'product'
TARGET: Final = 'target'
FIGURE: Final = 'figure'
COLUMNS: Final = (BASELINE, PRODUCT, FIGURE, TARGET)
_COLUMNS_BY_KEY: Final = MappingProxyType(
    {
        'naive': BASELINE,
        BASELINE: BASELINE,
        PRODUCT: PRODUCT,
        TARGET: TARGET,
    },
)
_PREFIX_END: Final = '_'
_NOT_SHOWN: Final = frozenset(('bench', 'seed', 'ok'))
_LONGEST_LABEL: Final = 30

_Leaf = tuple[tuple[str, ...], Any]


@dataclass(frozen=True, slots=True)
class Row:
    """One quantity.

    Args:
        path: Names that lead to it, the quantity's own name last.
        by_column: Its figures by column.
    """

    path: tuple[str, ...]
    by_column: Mapping[str, Any]

    @property
    def quantity(self) -> str:
        """Return the quantity's own name."""
        return self.path[-1] if self.path else ''

    @property
    def case(self) -> str:
        """Return what the quantity was measured of."""
        return ' / '.join(self.path[:-1])


def rows_of(figures: Mapping[str, Any]) -> list[Row]:
    """Return the rows of a benchmark's figures, in their order.

    A name such as ``naive`` or ``product`` on the way to a figure, or such a
    prefix of its own name, gives its column; other figures stand in a column
    of their own.

    Args:
        figures: JSON object that the benchmark printed.
    """
    named = figures.get(PRODUCT)
    own = {named: PRODUCT} if isinstance(named, str) else {}
    columns = {**_COLUMNS_BY_KEY, **own}
    rows: dict[tuple[str, ...], dict[str, Any]] = {}
    for path, leaf in _leaves((), figures):
        column, rest = _place(path, columns)
        if path[0] not in _NOT_SHOWN:
            rows.setdefault(rest, {})[column] = leaf
    return [Row(way, by_column) for way, by_column in rows.items()]


def _place(
    path: tuple[str, ...],
    columns: Mapping[str, str],
) -> tuple[str, tuple[str, ...]]:
    """Return the column of a leaf and the path without the column's name."""
    named = [columns[name] for name in path if name in columns]
    if named:
        return named[0], tuple(name for name in path if name not in columns)
    prefix, _, quantity = path[-1].partition(_PREFIX_END)
    column = columns.get(prefix)
    if column is not None:
        return column, (*path[:-1], quantity)
    return FIGURE, path


def _leaves(path: tuple[str, ...], node: Any) -> Iterator[_Leaf]:
    if isinstance(node, Mapping):
        for name, child in node.items():
            yield from _leaves((*path, str(name)), child)
    elif isinstance(node, list) and any(
        isinstance(each, dict) for each in node
    ):
        for number, child in enumerate(node):
            yield from _leaves((*path, _label(child, number)), child)
    else:
        yield path, node


def _label(child: Any, number: int) -> str:
    """Return a name for an element of a list: its texts, else its number."""
    if not isinstance(child, Mapping):
        return str(number)
    texts = [
        text
        for text in child.values()
        if isinstance(text, str) and 0 < len(text) <= _LONGEST_LABEL
    ]
    return ' '.join(texts) or str(number)
