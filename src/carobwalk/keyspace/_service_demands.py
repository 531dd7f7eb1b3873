"""Request rates of all services, from the load reports."""

from carobwalk.keyspace._demand_rate import DemandRate
from carobwalk.keyspace._load_report import LoadReport
from carobwalk.model import Clock, ServiceName


class ServiceDemands:
    """Request rates by service, with and without a key.

    Args:
        clock: Clock of the counts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keyed_by_service: dict[ServiceName, DemandRate] = {}
        self._unkeyed_by_service: dict[ServiceName, DemandRate] = {}

    def clear(self) -> None:
        """Forget all counts."""
        self._keyed_by_service.clear()
        self._unkeyed_by_service.clear()

    def add(self, report: LoadReport) -> None:
        """Add the requests of a report."""
        now = self._clock.now()
        keyed_counts = {
            load.service: sum(count for _, count in load.counts)
            for load in report.services
        }
        for name, count in report.demands:
            service = ServiceName(name)
            keyed = min(keyed_counts.get(name, 0), count)
            self._rate_in(self._keyed_by_service, service).add(now, keyed)
            self._rate_in(self._unkeyed_by_service, service).add(
                now, count - keyed
            )

    def keyed(self, service: ServiceName) -> float:
        """Return the requests per second with a key."""
        rate = self._rate_in(self._keyed_by_service, service)
        return rate.per_second(self._clock.now())

    def unkeyed(self, service: ServiceName) -> float:
        """Return the requests per second without a key."""
        rate = self._rate_in(self._unkeyed_by_service, service)
        return rate.per_second(self._clock.now())

    def _rate_in(
        self, rates: dict[ServiceName, DemandRate], service: ServiceName
    ) -> DemandRate:
        rate = rates.get(service)
        if rate is None:
            rate = DemandRate(self._clock.now())
            rates[service] = rate
        return rate
