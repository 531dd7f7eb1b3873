"""Construction of SVG elements."""

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
    """Append an element; its attributes are converted to text."""
    texts = {name: str(attribute) for name, attribute in attributes.items()}
    return Tree.SubElement(parent, tag, texts)


def add_path(
    parent: Tree.Element,
    shape: str,
    colour: str,
    point: Point,
) -> None:
    """Append a filled path at a point."""
    add_element(
        parent,
        'path',
        d=shape,
        fill=colour,
        transform=f'translate({point[0]:.1f},{point[1]:.1f})',
    )


def add_text(
    parent: Tree.Element,
    point: Point,
    content: str,
    anchor: str = 'start',
) -> None:
    """Append a text whose baseline starts, ends or centres at a point."""
    element = add_element(
        parent,
        'text',
        x=f'{point[0]:.1f}',
        y=f'{point[1]:.1f}',
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
