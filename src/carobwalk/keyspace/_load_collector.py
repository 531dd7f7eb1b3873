"""Aggregation of the load reports of all processes."""

import math
from collections import defaultdict
from typing import Final

import msgspec

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway import RequestTotals
from carobwalk.keyspace._crash_counts import CrashCounts
from carobwalk.keyspace._fleet_load import FleetLoad
from carobwalk.keyspace._key_loads import KeyLoads
from carobwalk.keyspace._load_report import (
    LoadReceipt,
    LoadReport,
    ServiceLoad,
)
from carobwalk.keyspace._overloads import DEMAND_WINDOW_SECONDS, Overloads
from carobwalk.keyspace._server_notices import ServerNotices
from carobwalk.keyspace._server_speed import ServerSpeeds
from carobwalk.keyspace._server_work import rate_of
from carobwalk.keyspace._warmup_allowances import WarmupAllowances
from carobwalk.model import Clock, ProcessId, ServerId, ServiceName
from carobwalk.shares import SharerCount

_REPORTER_EXPIRY_SECONDS: Final = 3.0
_WINDOW_SECONDS: Final = 0.5
# Time within which all processes have reported to a new coordinator.
_FIRST_REPORTS_SECONDS: Final = 1.0
_RECOUNT_SECONDS: Final = 0.25


class LoadCollector:
    """Aggregates the load reports of all processes.

    Args:
        clock: Clock for report times and measurement windows.
        limit_window: Longest window in seconds of a limit that processes
            share.
        warmups: Divides the requests that cold servers may get; by default
            they are not limited.
        fleet: Estimates the load of all servers, ``None`` to estimate only
            that of owners of keys.
    """

    def __init__(
        self,
        clock: Clock,
        limit_window: float = 10,
        warmups: WarmupAllowances | None = None,
        fleet: FleetLoad | None = None,
    ) -> None:
        self._clock = clock
        self._reported_at_by_process: dict[ProcessId, float] = {}
        self.loads = KeyLoads(clock)
        self.demands = KeyLoads(clock, DEMAND_WINDOW_SECONDS)
        self.overloads = Overloads()
        self._work_by_incarnation: dict[ServerIncarnation, RequestTotals] = (
            defaultdict(RequestTotals)
        )
        self._window_started = clock.now()
        self._last_report_at = -math.inf
        self._reporting_since = -math.inf
        self._counted_at = -math.inf
        self._count = 0
        self._crashes = CrashCounts(clock)
        self._sharers = SharerCount(clock, limit_window)
        self.speeds = ServerSpeeds()
        self.notices = ServerNotices(clock)
        self.warmups = warmups or WarmupAllowances(clock)
        self._is_coordinator = False
        self._fleet = fleet
        # Whether all processes' observations give the speeds of a service.
        self.is_by_speed = fleet.is_sparse if fleet else _never

    @property
    def is_coordinator(self) -> bool:
        """Whether this process is the coordinator."""
        return self._is_coordinator

    @is_coordinator.setter
    def is_coordinator(self, is_coordinator: bool) -> None:
        if is_coordinator and not self._is_coordinator:
            self._sharers.start_term()
        self._is_coordinator = is_coordinator
        self.overloads.clear()
        if self._fleet is not None:
            self._fleet.clear()

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Record a report and answer with a receipt; a ``TopicHandler``."""
        now = self._clock.now()
        report = msgspec.msgpack.decode(payload, type=LoadReport)
        self._record_report(sender, now)
        self._sharers.record(sender, report.sharers)
        self.warmups.record(report)
        for load in report.services:
            self._add_load(load, now)
        if self._fleet is not None:
            self._fleet.add(sender, report)
        for server, born in report.leaving:
            incarnation = ServerIncarnation(ServerId(server), born)
            self.notices.record_leaving(incarnation)
        for crash in report.crashes:
            incarnation = ServerIncarnation(ServerId(crash.server), crash.born)
            self._crashes.record(crash.fingerprint, incarnation)
        digest = b''
        if self._fleet is not None and self.process_count():
            digest = self._fleet.digest_for(sender)
        return msgspec.msgpack.encode(
            LoadReceipt(
                self.is_coordinator,
                self.process_count(),
                self._crashes.culprits(),
                self._sharers.count(),
                self.overloads.rows(),
                self.warmups.rows(),
                now,
                digest,
            ),
        )

    def seconds(self, incarnation: ServerIncarnation, now: float) -> float:
        """Return the estimated service time of a server in seconds.

        Args:
            incarnation: Incarnation of the server.
            now: Current time in seconds.
        """
        known = self._fleet.seconds(incarnation) if self._fleet else None
        if known is None:
            return self.speeds.seconds(incarnation, now)
        return known

    def process_count(self) -> int:
        """Return the number of reporting processes, 0 if not known yet.

        A new coordinator has received few reports at first. Shares computed
        from that number would be many times too large.
        """
        now = self._clock.now()
        if now - self._reporting_since < _FIRST_REPORTS_SECONDS:
            return 0
        if now - self._counted_at >= _RECOUNT_SECONDS:
            self._count_processes(now)
        return self._count

    def refresh(self, slots: int) -> None:
        """Update the service times if the measurement window has ended.

        Args:
            slots: Maximum number of requests that a backend server runs
                concurrently.
        """
        now = self._clock.now()
        length = now - self._window_started
        if length < _WINDOW_SECONDS:
            return
        for incarnation, work in self._work_by_incarnation.items():
            self.speeds.record(incarnation, rate_of(work, length), slots, now)
        self._work_by_incarnation.clear()
        self._window_started = now

    def _record_report(self, sender: ProcessId, now: float) -> None:
        if now - self._last_report_at > _REPORTER_EXPIRY_SECONDS:
            self._reporting_since = now
            self._sharers.start_term()
        self._last_report_at = now
        self._reported_at_by_process[sender] = now

    def _count_processes(self, now: float) -> None:
        limit = now - _REPORTER_EXPIRY_SECONDS
        self._reported_at_by_process = {
            process: reported_at
            for process, reported_at in self._reported_at_by_process.items()
            if reported_at > limit
        }
        self._counted_at = now
        self._count = len(self._reported_at_by_process)

    def _add_load(self, load: ServiceLoad, now: float) -> None:
        self.loads.add(load)
        self.demands.add(load)
        for row in load.servers:
            incarnation = ServerIncarnation(ServerId(row.server), row.born)
            work = self._work_by_incarnation[incarnation]
            work.answers += row.answers
            work.given_up += row.given_up
            work.seconds += row.seconds
            if row.answers:
                self.speeds.record_answer(incarnation, now)
                self.notices.record_limit(incarnation, row.limit)


def _never(service: ServiceName) -> bool:
    return False
