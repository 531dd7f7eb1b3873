"""Parts of a capacity that the requests of each route hold."""

from collections import Counter
from typing import Final

# Most of a capacity that requests of one route hold while others wait.
_MAX_PART: Final = 0.75


class RouteParts:
    """Counts the requests of each route that hold a part of a capacity."""

    def __init__(self) -> None:
        self.capacity: float = 0
        self._held_by_route: Counter[str] = Counter()

    def start(self, route: str) -> None:
        """Count a request that is about to be sent."""
        self._held_by_route[route] += 1

    def finish(self, route: str) -> None:
        """Count the end of a request."""
        self._held_by_route[route] -= 1
        if not self._held_by_route[route]:
            self._held_by_route.pop(route)

    def is_exhausted(self, route: str) -> bool:
        """Return whether a route holds all that it may while others wait."""
        most = max(self.capacity * _MAX_PART, 1)
        return self._held_by_route[route] + 1 > most
