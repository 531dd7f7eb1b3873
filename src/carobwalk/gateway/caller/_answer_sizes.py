"""Sizes of the answers that routes have brought recently."""

from typing import Final

# Part of the difference by which the expected size goes back after a smaller
# answer.
_DECAY_DIVISOR: Final = 8
_MAX_ROUTES: Final = 4096
# Expected of a route that has brought no answer yet. 16 of them fit into the
# memory of a process of the smallest size in use.
_UNKNOWN_BYTES: Final = 131_072


class AnswerSizes:
    """Expects answers of the size of the largest recent one of a route.

    Requests whose answers do not fit into the memory together would fail if
    they ran at the same time.
    """

    def __init__(self) -> None:
        self._bytes_by_route: dict[str, int] = {}

    def expected(self, route: str) -> int:
        """Return the size in bytes to expect."""
        return self._bytes_by_route.get(route, _UNKNOWN_BYTES)

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of an answer.

        Args:
            route: Name of the route.
            size_bytes: Size of the body, or the size that it asked for.
        """
        if len(self._bytes_by_route) > _MAX_ROUTES:
            self._bytes_by_route.clear()  # Names of former configurations.
        expected = self._bytes_by_route.get(route, 0)
        decayed = expected - (expected - size_bytes) // _DECAY_DIVISOR
        self._bytes_by_route[route] = max(size_bytes, decayed)
