"""Rows of a table with the figures of a benchmark."""

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
_PREFIX_SEPARATOR: Final = '_'
_HIDDEN_KEYS: Final = frozenset(('bench', 'seed', 'ok'))
_MAX_LABEL_LETTERS: Final = 30

_Leaf = tuple[tuple[str, ...], Any]


@dataclass(frozen=True, slots=True)
class Row:
    """One quantity of a benchmark.

    Args:
        path: Keys that lead to the quantity, its own name last.
        by_column: Figures of the quantity by column.
    """

    path: tuple[str, ...]
    by_column: Mapping[str, Any]

    @property
    def quantity(self) -> str:
        """Name of the quantity itself."""
        return self.path[-1] if self.path else ''

    @property
    def case(self) -> str:
        """Case for which the quantity was measured."""
        return ' / '.join(self.path[:-1])


def make_rows(figures: Mapping[str, Any]) -> list[Row]:
    """Return the figures of a benchmark as rows, in their order.

    A key such as ``naive`` or ``product`` on the path to a figure, or such a
    prefix of its own key, determines the column of the figure. All other
    figures are in the column ``figure``.

    Args:
        figures: JSON object that the benchmark printed.
    """
    named = figures.get(PRODUCT)
    own = {named: PRODUCT} if isinstance(named, str) else {}
    columns = {**_COLUMNS_BY_KEY, **own}
    rows: dict[tuple[str, ...], dict[str, Any]] = {}
    for path, leaf in _iterate_leaves((), figures):
        column, rest = _split_column(path, columns)
        if path[0] not in _HIDDEN_KEYS:
            rows.setdefault(rest, {})[column] = leaf
    return [Row(row_path, by_column) for row_path, by_column in rows.items()]


def _split_column(
    path: tuple[str, ...],
    columns: Mapping[str, str],
) -> tuple[str, tuple[str, ...]]:
    """Return the column of a leaf, and its path without the column key."""
    named = [columns[name] for name in path if name in columns]
    if named:
        return named[0], tuple(name for name in path if name not in columns)
    prefix, _, quantity = path[-1].partition(_PREFIX_SEPARATOR)
    column = columns.get(prefix)
    if column is not None:
        return column, (*path[:-1], quantity)
    return FIGURE, path


def _iterate_leaves(path: tuple[str, ...], node: Any) -> Iterator[_Leaf]:
    if isinstance(node, Mapping):
        for name, child in node.items():
            yield from _iterate_leaves((*path, str(name)), child)
    elif isinstance(node, list) and any(
        isinstance(each, dict) for each in node
    ):
        for number, child in enumerate(node):
            yield from _iterate_leaves(
                (*path, _label_element(child, number)), child
            )
    else:
        yield path, node


def _label_element(child: Any, number: int) -> str:
    """Return the short texts of a list element, else its number."""
    if not isinstance(child, Mapping):
        return str(number)
    texts = [
        text
        for text in child.values()
        if isinstance(text, str) and 0 < len(text) <= _MAX_LABEL_LETTERS
    ]
    return ' '.join(texts) or str(number)
