"""Requests that callers ask this process for."""

from collections import Counter

from carobwalk.model import ServiceName


class DemandCounter:
    """Counts the requests of callers by service, served or not."""

    def __init__(self) -> None:
        self._counts_by_service: Counter[ServiceName] = Counter()

    def count(self, service: ServiceName) -> None:
        """Count a request of a caller."""
        self._counts_by_service[service] += 1

    def pop_all(self) -> tuple[tuple[str, int], ...]:
        """Return and reset the counts by service."""
        counts = tuple(self._counts_by_service.items())
        self._counts_by_service.clear()
        return counts
