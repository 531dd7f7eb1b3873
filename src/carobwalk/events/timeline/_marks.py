"""Colours and shapes of the marks of events."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import product
from typing import Final

# Colours that readers with colour blindness can distinguish, after Okabe and
# Ito; shapes distinguish further kinds of events.
_COLOURS: Final = (
    '#0072b2',
    '#d55e00',
    '#009e73',
    '#cc79a7',
    '#b8860b',
    '#56b4e9',
    '#7b3294',
    '#444444',
)
_SHAPES: Final = (
    'M-5,0a5,5 0 1,0 10,0a5,5 0 1,0 -10,0z',
    'M-4.5,-4.5h9v9h-9z',
    'M0,-6L6,0L0,6L-6,0z',
    'M0,-5.5L5.5,4.5L-5.5,4.5z',
)


@dataclass(frozen=True, slots=True)
class Mark:
    """Appearance of the events of one name.

    Args:
        colour: Colour as an SVG attribute.
        shape: SVG path data around the origin, at most 12 units wide.
    """

    colour: str
    shape: str


def marks_by_name(names: Iterable[str]) -> dict[str, Mark]:
    """Assign a mark to each name; marks repeat when all are in use."""
    marks = [
        Mark(colour, shape) for shape, colour in product(_SHAPES, _COLOURS)
    ]
    return {
        name: marks[number % len(marks)]
        for number, name in enumerate(sorted(set(names)))
    }
