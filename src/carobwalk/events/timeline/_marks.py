"""Colours and shapes of the kinds of events."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import product
from typing import Final

# Colours that readers with colour blindness can tell apart, after Okabe and
# Ito; shapes tell further kinds apart.
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
    """How the events of one name are drawn.

    Args:
        colour: Colour in SVG's form.
        shape: Path around the origin in SVG's form, 12 units wide at most.
    """

    colour: str
    shape: str


def marks_by_name(names: Iterable[str]) -> dict[str, Mark]:
    """Return a mark for each name, repeated after all were used."""
    marks = [
        Mark(colour, shape) for shape, colour in product(_SHAPES, _COLOURS)
    ]
    return {
        name: marks[number % len(marks)]
        for number, name in enumerate(sorted(set(names)))
    }
