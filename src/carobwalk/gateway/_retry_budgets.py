"""Retry budgets of all services."""

import trio

from carobwalk.gateway._process_count import INITIAL_PROCESS_COUNT
from carobwalk.gateway._sliding_window_retry_budget import (
    RetryRules,
    SlidingWindowRetryBudget,
)
from carobwalk.model import ServiceName


class RetryBudgets:
    """Retry budget of each service.

    Args:
        rules: Limits for each service over all processes together.
    """

    def __init__(self, rules: RetryRules) -> None:
        self.rules = rules
        self.process_count = INITIAL_PROCESS_COUNT
        self._started: float | None = None
        self._budgets_by_service: dict[
            ServiceName, SlidingWindowRetryBudget
        ] = {}

    def apply_rules(self, rules: RetryRules) -> None:
        """Replace the rules of all budgets; past retries still count."""
        self.rules = rules
        for budget in self._budgets_by_service.values():
            budget.rules = rules

    def count_request(self, service: ServiceName) -> None:
        """Count a request of a caller for a service."""
        self._of(service).count_request(trio.current_time())

    def spend(self, service: ServiceName) -> bool:
        """Spend one retry of a service if its budget allows it.

        Returns:
            Whether the retry is allowed.
        """
        return self._of(service).spend(
            trio.current_time(),
            self.process_count,
        )

    def _of(self, service: ServiceName) -> SlidingWindowRetryBudget:
        if self._started is None:
            self._started = trio.current_time()
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(self.rules, self._started)
            self._budgets_by_service[service] = budget
        return budget
