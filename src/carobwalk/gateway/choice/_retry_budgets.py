"""Retry budgets of all services."""

import trio

from carobwalk.gateway.choice._sliding_window_retry_budget import (
    RetryRules,
    SlidingWindowRetryBudget,
)
from carobwalk.model import ServiceName
from carobwalk.shares import ProcessShare


class RetryBudgets:
    """Retry budget of each service.

    Args:
        rules: Limits for each service over all processes together.
        share: Share of this process in these limits.
    """

    def __init__(self, rules: RetryRules, share: ProcessShare) -> None:
        self.rules = rules
        self._share = share
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
            self._share.sharers_for(self.rules.window),
        )

    def may_spend(self, service: ServiceName) -> bool:
        """Return whether the budget of a service allows a retry now."""
        return self._of(service).may_spend(
            trio.current_time(),
            self._share.sharers_for(self.rules.window),
        )

    def _of(self, service: ServiceName) -> SlidingWindowRetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(self.rules)
            self._budgets_by_service[service] = budget
        return budget
