"""Load of all backend servers, from the reports of all processes."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.events import EventLog
from carobwalk.gateway import ServerEstimate, encode_digest
from carobwalk.keyspace._load_report import LoadReport, ServiceLoad
from carobwalk.keyspace._service_seconds import ServiceSeconds
from carobwalk.keyspace._slow_servers import SlowServers
from carobwalk.model import Clock, ProcessId, ServerId, ServiceName

# Interval of the reports of each process, and of the estimates.
_INTERVAL_SECONDS: Final = 0.25
# A process that is silent for this long has ended or is cut off. Its requests
# are no longer known to be in flight.
_SILENT_SECONDS: Final = 1.0

ListServers = Callable[[], Iterable[BackendServer]]


@dataclass(frozen=True, slots=True)
class _Reported:
    """Requests in flight of one process, by its last report."""

    at: float
    in_flight: dict[ServerIncarnation, float]


class FleetLoad:
    """Estimates the load of all servers while this process coordinates.

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
        self._reported: dict[ProcessId, _Reported] = {}
        self._answers: dict[ServerIncarnation, int] = defaultdict(int)
        self._seconds: dict[ServiceName, ServiceSeconds] = {}
        self._service_by_incarnation: dict[ServerIncarnation, ServiceName] = {}
        self._in_flight: dict[ServerIncarnation, float] = {}
        self._keyed: set[ServiceName] = set()
        self._advanced_at = self._clock.now()
        self._digest = b''
        self._had_digest: set[ProcessId] = set()
        self._slow.clear()

    def add(self, sender: ProcessId, report: LoadReport) -> None:
        """Add the report of a process."""
        in_flight: dict[ServerIncarnation, float] = {}
        for keyed in report.services:
            self._keyed.add(ServiceName(keyed.service))
            self._add_service(keyed, in_flight)
        for other in report.others:
            self._add_service(other, in_flight)
        now = self._clock.now()
        self._reported[sender] = _Reported(now, in_flight)
        if now - self._advanced_at >= _INTERVAL_SECONDS:
            self._advance(now)

    def digest_for(self, process: ProcessId) -> bytes:
        """Return the digest for every second receipt of a process."""
        if process in self._had_digest:
            self._had_digest.discard(process)
            return b''
        self._had_digest.add(process)
        return self._digest

    def seconds(self, incarnation: ServerIncarnation) -> float | None:
        """Return the service time of a server, ``None`` if it is unknown."""
        service = self._service_by_incarnation.get(incarnation)
        if service is None:
            return None
        return self._seconds[service].seconds(incarnation)

    def estimates(
        self,
    ) -> Iterator[tuple[ServiceName, ServerIncarnation, ServerEstimate]]:
        """Yield the estimates of all servers, also of keyed services."""
        for incarnation, service in self._service_by_incarnation.items():
            seconds = self._seconds[service].seconds(incarnation)
            estimate = ServerEstimate(seconds, self._in_flight[incarnation])
            yield service, incarnation, estimate

    def _add_service(
        self, load: ServiceLoad, in_flight: dict[ServerIncarnation, float]
    ) -> None:
        for row in load.servers:
            incarnation = ServerIncarnation(ServerId(row.server), row.born)
            in_flight[incarnation] = row.in_flight
            if row.answers:
                self._answers[incarnation] += row.answers

    def _advance(self, now: float) -> None:
        """Update the estimates by the reports of the last interval."""
        length = now - self._advanced_at
        self._advanced_at = now
        known = self._seconds
        self._seconds = {}
        for service, busy_slots in self._refresh_servers(now).items():
            seconds = known.get(service) or ServiceSeconds()
            seconds.advance(length, busy_slots, self._answers)
            self._seconds[service] = seconds
            self._slow.update(service, seconds, busy_slots)
        self._answers.clear()
        self._digest = encode_digest(
            (incarnation, estimate)
            for name, incarnation, estimate in self.estimates()
            if name not in self._keyed
        )

    def _refresh_servers(
        self, now: float
    ) -> dict[ServiceName, dict[ServerIncarnation, float]]:
        """Adopt the registered servers; return how many slots are busy."""
        totals = self._sum_in_flight(now)
        busy_by_service: dict[ServiceName, dict[ServerIncarnation, float]] = (
            defaultdict(dict)
        )
        self._service_by_incarnation.clear()
        self._in_flight.clear()
        for server in self._list_servers():
            total = totals.get(server.incarnation, 0)
            self._in_flight[server.incarnation] = total
            self._service_by_incarnation[server.incarnation] = server.service
            busy = min(total, server.slots)
            busy_by_service[server.service][server.incarnation] = busy
        return busy_by_service

    def _sum_in_flight(self, now: float) -> dict[ServerIncarnation, float]:
        """Return the requests in flight of all processes that report."""
        totals: dict[ServerIncarnation, float] = defaultdict(float)
        for process, reported in tuple(self._reported.items()):
            if now - reported.at > _SILENT_SECONDS:
                self._reported.pop(process)
                self._had_digest.discard(process)
                continue
            for incarnation, mean in reported.in_flight.items():
                totals[incarnation] += mean
        return totals
