"""Number of processes that share the limits on all of them together."""

import math

from carobwalk.model import Clock, ProcessId
from carobwalk.shares._process_share import SHARE_SECONDS


class SharerCount:
    """Counts the processes that may have used a share within a window.

    A process uses its share for ``SHARE_SECONDS`` after it was told of it, and
    what it has used counts for a window more. Until then it is a sharer, even
    if it no longer reports: otherwise the shares of the others would grow
    beside its own.

    A new coordinator does not know the processes that it can't reach. It tells
    no number at first, and then at least the one that its reporters share by,
    until the shares of the term before are used up.

    Args:
        clock: Clock of the reports.
        window: Longest window of a limit in seconds.
    """

    def __init__(self, clock: Clock, window: float) -> None:
        self._clock = clock
        self._retention_seconds = SHARE_SECONDS + window
        self._reported_at_by_process: dict[ProcessId, float] = {}
        self._term_started = -math.inf
        self._earlier_sharers = 0

    def start_term(self) -> None:
        """Forget the reports to an earlier term of this process."""
        self._reported_at_by_process.clear()
        self._term_started = self._clock.now()
        self._earlier_sharers = 0

    def record(self, sender: ProcessId, sharers: int) -> None:
        """Record a report.

        Args:
            sender: Process that reports.
            sharers: Number of processes that it shares limits with, 0 if it
                has no share.
        """
        now = self._clock.now()
        self._reported_at_by_process[sender] = now
        if now - self._term_started < self._retention_seconds:
            self._earlier_sharers = max(self._earlier_sharers, sharers)

    def count(self) -> int:
        """Return the number of sharers, 0 if it is not known yet."""
        now = self._clock.now()
        term_seconds = now - self._term_started
        if term_seconds < SHARE_SECONDS:
            return 0
        earliest = now - self._retention_seconds
        for process, reported_at in tuple(self._reported_at_by_process.items()):
            if reported_at < earliest:
                self._reported_at_by_process.pop(process)
        sharers = len(self._reported_at_by_process)
        if term_seconds < self._retention_seconds:
            return max(sharers, self._earlier_sharers)
        return sharers
