"""Budgets of repeats of all services."""

import trio

from carobwalk.gateway._repeat_budget import RepeatBudget, RepeatRules
from carobwalk.model import ServiceName


class RepeatBudgets:
    """Budgets by service.

    Args:
        rules: Bounds over all processes, for each service.
    """

    def __init__(self, rules: RepeatRules) -> None:
        self.rules = rules
        self.process_count = 12
        self._started: float | None = None
        self._budgets_by_service: dict[ServiceName, RepeatBudget] = {}

    def follow(self, rules: RepeatRules) -> None:
        """Follow other rules from now on."""
        self.rules = rules
        for budget in self._budgets_by_service.values():
            budget.rules = rules

    def count_request(self, service: ServiceName) -> None:
        """Count a request of a caller for a service."""
        self._of(service).count_request(trio.current_time())

    def spend(self, service: ServiceName) -> bool:
        """Take one repeat of a service; return whether it was allowed."""
        return self._of(service).spend(
            trio.current_time(),
            self.process_count,
        )

    def _of(self, service: ServiceName) -> RepeatBudget:
        if self._started is None:
            self._started = trio.current_time()
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self.rules, self._started)
            self._budgets_by_service[service] = budget
        return budget
