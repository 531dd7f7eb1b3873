"""Load of all backend servers, from the reports of all processes."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.events import EventLog
from carobwalk.gateway import ServerEstimate
from carobwalk.keyspace._digest_turns import DigestTurns
from carobwalk.keyspace._load_report import LoadReport
from carobwalk.keyspace._reported_in_flight import ReportedInFlight
from carobwalk.keyspace._service_seconds import ServiceSeconds
from carobwalk.keyspace._slow_servers import SlowServers
from carobwalk.keyspace._sparse_services import SparseServices
from carobwalk.model import Clock, ProcessId, ServerId, ServiceName

# Interval of the reports of each process, and of the estimates.
_INTERVAL_SECONDS: Final = 0.25
# Receipts within this time carry the same digest. The digest must be fresh: a
# request takes some tenths of a second, after which the load is another.
_DIGEST_SECONDS: Final = 0.05
# A process that is silent for this long has ended or is cut off. Its requests
# are no longer known to be in flight.
_SILENT_SECONDS: Final = 1.0

ListServers = Callable[[], Iterable[BackendServer]]


class FleetLoad:
    """Estimates the load of all servers while this process coordinates.

    Its estimates are used for sparse services only, whose servers a process
    seldom hears of.

    Args:
        clock: Clock of the reports.
        list_servers: Returns all registered backend servers.
        events: Event log.
    """

    def __init__(
        self, clock: Clock, list_servers: ListServers, events: EventLog
    ) -> None:
        self._clock = clock
        self._list_servers = list_servers
        self._slow = SlowServers(events)
        self.clear()

    def clear(self) -> None:
        """Forget all at the start and the end of a term."""
        self._in_flight = ReportedInFlight(_SILENT_SECONDS)
        self._answers: dict[ServerIncarnation, int] = defaultdict(int)
        self._seconds: dict[ServiceName, ServiceSeconds] = {}
        self._service_by_incarnation: dict[ServerIncarnation, ServiceName] = {}
        self._keyed: set[ServiceName] = set()
        self._sparse = SparseServices()
        self._advanced_at = self._clock.now()
        self._digests = DigestTurns(_DIGEST_SECONDS)
        self._slow.clear()

    def add(self, sender: ProcessId, report: LoadReport) -> None:
        """Add the report of a process."""
        now = self._clock.now()
        self._keyed.update(
            ServiceName(keyed.service) for keyed in report.services
        )
        rows = {
            ServerIncarnation(ServerId(row.server), row.born): row
            for load in (*report.services, *report.others)
            for row in load.servers
        }
        for incarnation, row in rows.items():
            if row.answers:
                self._answers[incarnation] += row.answers
        self._in_flight.replace(sender, rows, now)
        if now - self._advanced_at >= _INTERVAL_SECONDS:
            self._advance(now)

    def digest_for(self, process: ProcessId) -> bytes:
        """Return the digest for every second receipt of a process."""
        if not self._digests.is_due(process):
            return b''
        return self._digests.take(self._clock.now(), self._unkeyed_estimates)

    def seconds(self, incarnation: ServerIncarnation) -> float | None:
        """Return the service time of a server of a sparse service.

        It is ``None`` if the server is unknown or its service isn't sparse.
        """
        service = self._service_by_incarnation.get(incarnation)
        if service is None or service not in self._sparse:
            return None
        return self._seconds[service].seconds(incarnation)

    def is_sparse(self, service: ServiceName) -> bool:
        """Return whether processes seldom hear of a service's servers."""
        return service in self._sparse

    def estimates(
        self,
    ) -> Iterator[tuple[ServiceName, ServerIncarnation, ServerEstimate]]:
        """Yield the estimates of all servers, also of keyed services."""
        for incarnation, service in self._service_by_incarnation.items():
            seconds = self._seconds[service].seconds(incarnation)
            running = self._in_flight.running(incarnation)
            yield service, incarnation, ServerEstimate(seconds, running)

    def _unkeyed_estimates(
        self,
    ) -> Iterator[tuple[ServerIncarnation, ServerEstimate]]:
        for service, incarnation, estimate in self.estimates():
            if service not in self._keyed and service in self._sparse:
                yield incarnation, estimate

    def _advance(self, now: float) -> None:
        """Update the estimates by the reports of the last interval."""
        length = now - self._advanced_at
        self._advanced_at = now
        for process in self._in_flight.remove_silent(now):
            self._digests.remove(process)
        known = self._seconds
        self._seconds = {}
        for service, busy_slots in self._refresh_servers().items():
            seconds = known.get(service) or ServiceSeconds()
            seconds.advance(length, busy_slots, self._answers)
            self._seconds[service] = seconds
            self._slow.update(service, seconds, busy_slots)
        self._sparse.update(
            length,
            self._answers,
            self._service_by_incarnation,
            self._in_flight.process_count,
        )
        self._answers.clear()

    def _refresh_servers(
        self,
    ) -> dict[ServiceName, dict[ServerIncarnation, float]]:
        """Adopt the registered servers; return how many slots are busy."""
        busy_by_service: dict[ServiceName, dict[ServerIncarnation, float]] = (
            defaultdict(dict)
        )
        self._service_by_incarnation.clear()
        for server in self._list_servers():
            incarnation = server.incarnation
            self._service_by_incarnation[incarnation] = server.service
            busy = min(self._in_flight.mean(incarnation), server.slots)
            busy_by_service[server.service][incarnation] = busy
        self._in_flight.retain(self._service_by_incarnation.keys())
        return busy_by_service
