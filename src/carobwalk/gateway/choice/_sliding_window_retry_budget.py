"""Retry budget of a service, shared by all processes."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Fraction of the budget that is used. The rest is a safety margin, since the
# processes' windows do not begin at the same moments.
_USABLE_SHARE: Final = 0.85


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRules:
    """Limits on the retries of all processes together.

    Args:
        ratio: Retries allowed per request within a window.
        slack: Retries allowed in addition within a window.
        window: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


class SlidingWindowRetryBudget:
    """Limits retries of a service to a fraction of the requests of a window.

    Requests count whether they succeed or not. The rules bind all processes
    together: each counts its own requests and takes an equal share of the
    slack, or nothing of it while it has no share. The
    ``TokenBucketRetryBudget`` of the dispatcher relates retries to successes
    instead, at one backend server.

    Args:
        rules: Limits on the retries of all processes together.
    """

    def __init__(self, rules: RetryRules) -> None:
        self.rules = rules
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def spend(self, now: float, process_count: int) -> bool:
        """Spend one retry if the budget allows it.

        Args:
            now: Current time in seconds.
            process_count: Number of processes that share the slack, 0 if this
                process has no share of it.

        Returns:
            Whether the retry is allowed.
        """
        if not self.may_spend(now, process_count):
            return False
        self._retries.append(now)
        return True

    def may_spend(self, now: float, process_count: int) -> bool:
        """Return whether ``spend`` would allow a retry."""
        self._drop_expired(now)
        rules = self.rules
        allowed = rules.ratio * len(self._requests)
        if process_count:
            allowed += rules.slack / process_count
        return len(self._retries) + 1 <= allowed * _USABLE_SHARE

    def _drop_expired(self, now: float) -> None:
        limit = now - self.rules.window
        for times in (self._requests, self._retries):
            while times and times[0] < limit:
                times.popleft()
