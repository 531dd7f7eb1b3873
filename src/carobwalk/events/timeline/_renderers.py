"""Registry of the output formats of a time line."""

from collections.abc import Callable, Sequence
from typing import Final

from carobwalk.events._logged_event import LoggedEvent

Renderer = Callable[[Sequence[LoggedEvent]], str]

_renderers_by_name: Final[dict[str, Renderer]] = {}


def renders(name: str) -> Callable[[Renderer], Renderer]:
    """Register the renderer of an output format."""

    def decorator(renderer: Renderer) -> Renderer:
        _renderers_by_name[name] = renderer
        return renderer

    return decorator


def render(name: str, events: Sequence[LoggedEvent]) -> str:
    """Render merged events in a registered format.

    Raises:
        KeyError: If no format has that name.
    """
    return _renderers_by_name[name](events)


def renderer_names() -> tuple[str, ...]:
    """Return the names of all formats, sorted."""
    return tuple(sorted(_renderers_by_name))
