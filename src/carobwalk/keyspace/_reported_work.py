"""Work of backend servers that a process reports."""

from collections.abc import Container
from dataclasses import dataclass
from typing import Self

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway import RequestTotals
from carobwalk.keyspace._load_report import ServerAnswers, ServiceLoad
from carobwalk.keyspace._local_load import LocalLoad
from carobwalk.model import ServiceName

_NO_REQUESTS = RequestTotals()


@dataclass(frozen=True, slots=True)
class ReportedWork:
    """Work of all servers for this process since the last report.

    Args:
        totals: Totals of the requests that ended.
        in_flight: Mean numbers of requests in flight, empty if they aren't
            reported.
        running: Numbers of requests in flight now.
    """

    totals: dict[ServiceName, dict[ServerIncarnation, RequestTotals]]
    in_flight: dict[ServiceName, dict[ServerIncarnation, float]]
    running: dict[ServerIncarnation, int]

    @classmethod
    def pop(cls, local: LocalLoad) -> Self:
        """Take the work since the last call from the counters of a process."""
        totals = local.loads.totals.pop_all()
        in_flight = local.loads.shared.pop_means()
        if not local.is_shared:
            return cls(totals, {}, {})
        return cls(totals, in_flight, local.loads.shared.counts())

    def rows(self, service: ServiceName) -> tuple[ServerAnswers, ...]:
        """Return the work of the servers of a service."""
        totals = self.totals.get(service, {})
        in_flight = self.in_flight.get(service, {})
        # A server without an answer since the last report is known by its
        # requests in flight.
        incarnations = totals.keys() | in_flight.keys()
        return tuple(
            _row(
                incarnation,
                totals.get(incarnation, _NO_REQUESTS),
                in_flight.get(incarnation, 0),
                self.running.get(incarnation, 0),
            )
            for incarnation in incarnations
        )

    def others(
        self, reported: Container[ServiceName]
    ) -> tuple[ServiceLoad, ...]:
        """Return the work of services that are not reported with keys.

        Args:
            reported: Services that are reported with the counts of their keys.
        """
        loads = (
            ServiceLoad(service, (), self.rows(service))
            for service in self.in_flight
            if service not in reported
        )
        return tuple(load for load in loads if load.servers)


def _row(
    incarnation: ServerIncarnation,
    counted: RequestTotals,
    in_flight: float,
    running: int,
) -> ServerAnswers:
    return ServerAnswers(
        incarnation.server,
        incarnation.born,
        counted.answers,
        counted.given_up,
        counted.seconds,
        counted.limit,
        in_flight,
        running,
    )
