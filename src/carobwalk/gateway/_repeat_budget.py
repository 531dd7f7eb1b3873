"""This process's share of the repeats that a service allows."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Part of the allowance that is used: processes count at different moments.
_USED_SHARE: Final = 0.85


@dataclass(frozen=True, slots=True, kw_only=True)
class RepeatRules:
    """Bounds on repeats that hold over all processes together.

    Args:
        ratio: Repeats allowed for each request in a window.
        slack: Repeats allowed besides in a window.
        window: Length of a window in seconds.
    """

    ratio: float
    slack: float
    window: float


class RepeatBudget:
    """Requests and repeats of one service in the last window.

    Args:
        rules: Bounds over all processes.
        started: Time from which this process counts. The share of the slack
            is usable after one window, since an earlier life of the process
            may have used it.
    """

    def __init__(self, rules: RepeatRules, started: float) -> None:
        self.rules = rules
        self._started = started
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._drop_old(now)

    def spend(self, now: float, process_count: int) -> bool:
        """Take one repeat; return whether it was allowed.

        Args:
            now: Present time.
            process_count: Processes that share the allowance.
        """
        self._drop_old(now)
        rules = self.rules
        allowed = rules.ratio * len(self._requests)
        if now - self._started >= rules.window:
            allowed += rules.slack / max(process_count, 1)
        if len(self._repeats) + 1 > allowed * _USED_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        limit = now - self.rules.window
        for times in (self._requests, self._repeats):
            while times and times[0] < limit:
                times.popleft()
