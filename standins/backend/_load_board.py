"""What a backend server tells of its load."""

from dataclasses import dataclass

import trio


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Answer of ``/health`` and ``/load``.

    Args:
        healthy: Whether the server takes new work.
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
    """

    healthy: bool
    running: int
    waiting: int


class LoadBoard:
    """Reports that lag behind the truth.

    Args:
        lag: Age of a report in seconds.
        always_idle: Whether reports say healthy and idle whatever is true.
    """

    def __init__(self, lag: float, always_idle: bool) -> None:
        self._lag = lag
        self._idle = LoadReport(healthy=True, running=0, waiting=0)
        self._always_idle = always_idle
        self._reports = [(float('-inf'), self._idle)]

    def put(self, report: LoadReport) -> None:
        """Take the report that is true from now on."""
        self._reports = self._recent()
        self._reports.append((trio.current_time(), report))

    def shown(self) -> LoadReport:
        """Return the report that the endpoints show now."""
        return self._idle if self._always_idle else self._recent()[0][1]

    def _recent(self) -> list[tuple[float, LoadReport]]:
        shown_until = trio.current_time() - self._lag
        past = [row for row in self._reports if row[0] <= shown_until]
        later = [row for row in self._reports if row[0] > shown_until]
        return [past[-1], *later]
