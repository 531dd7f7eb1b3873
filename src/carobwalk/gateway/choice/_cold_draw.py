"""Draw of the cold server that a request without a key may go to."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

_Server = TypeVar('_Server')


def draw_server(
    shares_by_server: Mapping[_Server, float], draw: float
) -> _Server | None:
    """Return the server that a request is drawn for, ``None`` for a warm one.

    The servers have adjoining parts of the range from 0 to 1, so that no
    request is drawn for two of them. If all parts together exceed the range,
    they are reduced alike.

    Args:
        shares_by_server: Share of the requests that each server may get.
        draw: Random number of the request from 0 to 1.
    """
    scale = _scale(shares_by_server.values())
    end: float = 0
    for server, share in shares_by_server.items():
        end += share * scale
        if draw < end:
            return server
    return None


def _scale(shares: Iterable[float]) -> float:
    return 1 / max(sum(shares), 1)
