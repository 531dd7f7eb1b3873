"""Load reports of a backend server."""

from dataclasses import dataclass

import trio


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Response body of ``/health`` and ``/load``.

    Args:
        healthy: Whether the server accepts new requests.
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
    """

    healthy: bool
    running: int
    waiting: int


class LoadReporter:
    """Reports the load with a delay, or as idle.

    Args:
        lag: Age of a report in seconds.
        always_idle: Whether reports always say healthy and idle.
    """

    def __init__(self, lag: float, always_idle: bool) -> None:
        self._lag = lag
        self._idle = LoadReport(healthy=True, running=0, waiting=0)
        self._always_idle = always_idle
        self._reports = [(float('-inf'), self._idle)]

    def record(self, report: LoadReport) -> None:
        """Record the current load."""
        self._reports = self._recent()
        self._reports.append((trio.current_time(), report))

    def current(self) -> LoadReport:
        """Return the report that the endpoints return now."""
        return self._idle if self._always_idle else self._recent()[0][1]

    def _recent(self) -> list[tuple[float, LoadReport]]:
        visible_until = trio.current_time() - self._lag
        past = [row for row in self._reports if row[0] <= visible_until]
        later = [row for row in self._reports if row[0] > visible_until]
        return [past[-1], *later]
