"""Elements of an SVG document."""

from typing import Final
from xml.etree import ElementTree as Tree

Point = tuple[float, float]

_LINE_COLOUR: Final = '#b5b5b5'
_TEXT_COLOUR: Final = '#222222'


def add_element(
    parent: Tree.Element,
    tag: str,
    **attributes: object,
) -> Tree.Element:
    """Append an element whose attributes are written as text."""
    texts = {name: str(value) for name, value in attributes.items()}
    return Tree.SubElement(parent, tag, texts)


def add_path(
    parent: Tree.Element,
    shape: str,
    colour: str,
    place: Point,
) -> None:
    """Append a filled path, moved to a place."""
    add_element(
        parent,
        'path',
        d=shape,
        fill=colour,
        transform=f'translate({place[0]:.1f},{place[1]:.1f})',
    )


def add_text(
    parent: Tree.Element,
    place: Point,
    content: str,
    anchor: str = 'start',
) -> None:
    """Append a text whose base line starts, ends or centres at a place."""
    element = add_element(
        parent,
        'text',
        x=f'{place[0]:.1f}',
        y=f'{place[1]:.1f}',
        fill=_TEXT_COLOUR,
    )
    element.set('text-anchor', anchor)
    element.text = content


def add_line(
    parent: Tree.Element,
    start: Point,
    end: Point,
    width: float = 1,
) -> None:
    """Append a straight line."""
    element = add_element(
        parent,
        'line',
        x1=f'{start[0]:.1f}',
        y1=f'{start[1]:.1f}',
        x2=f'{end[0]:.1f}',
        y2=f'{end[1]:.1f}',
        stroke=_LINE_COLOUR,
    )
    element.set('stroke-width', str(width))
