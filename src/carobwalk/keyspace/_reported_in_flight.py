"""Requests in flight at each server, by the last reports of all processes."""

from collections import Counter
from collections.abc import Mapping, Set
from dataclasses import dataclass

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._load_report import ServerAnswers
from carobwalk.model import ProcessId

_Rows = Mapping[ServerIncarnation, ServerAnswers]


@dataclass(frozen=True, slots=True)
class _Report:
    """Rows of the last report of a process, and when it came."""

    at: float
    rows: _Rows


class ReportedInFlight:
    """Sums over all processes of their last reported requests in flight.

    Args:
        max_silence: Seconds without a report after which a process counts no
            more.
    """

    def __init__(self, max_silence: float) -> None:
        self._max_silence = max_silence
        self._reports: dict[ProcessId, _Report] = {}
        self._means: dict[ServerIncarnation, float] = {}
        self._running: Counter[ServerIncarnation] = Counter()

    @property
    def process_count(self) -> int:
        """Number of processes that have reported lately."""
        return len(self._reports)

    def mean(self, incarnation: ServerIncarnation) -> float:
        """Return the mean requests at a server over the last reports."""
        # Sums of added and subtracted fractions end a little below or above 0.
        return max(self._means.get(incarnation, 0), 0)

    def running(self, incarnation: ServerIncarnation) -> int:
        """Return the requests at a server at the time of the last reports."""
        return self._running[incarnation]

    def replace(self, process: ProcessId, rows: _Rows, now: float) -> None:
        """Replace the rows of a process by those of its new report."""
        self._subtract(process)
        self._reports[process] = _Report(now, rows)
        for incarnation, row in rows.items():
            mean = self._means.get(incarnation, 0)
            self._means[incarnation] = mean + row.in_flight
            self._running[incarnation] += row.running

    def remove_silent(self, now: float) -> list[ProcessId]:
        """Remove processes that have not reported lately, and return them."""
        silent = [
            process
            for process, report in self._reports.items()
            if now - report.at > self._max_silence
        ]
        for process in silent:
            self._subtract(process)
        return silent

    def _subtract(self, process: ProcessId) -> None:
        former = self._reports.pop(process, None)
        if former is None:
            return
        for incarnation, row in former.rows.items():
            mean = self._means.get(incarnation, 0)
            self._means[incarnation] = mean - row.in_flight
            self._running[incarnation] -= row.running

    def retain(self, incarnations: Set[ServerIncarnation]) -> None:
        """Forget the sums of servers that are not registered any more."""
        for incarnation in self._means.keys() - incarnations:
            if not self._running[incarnation]:
                self._means.pop(incarnation)
                self._running.pop(incarnation)
