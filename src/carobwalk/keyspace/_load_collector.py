"""Load of all processes, as the coordinator knows it."""

import math
from collections import defaultdict
from typing import Final

import msgspec

from carobwalk.gateway import RequestTotals
from carobwalk.keyspace._crash_counts import CrashCounts
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._load_report import (
    LoadReceipt,
    LoadReport,
    ServiceLoad,
)
from carobwalk.keyspace._server_speed import ServerSpeeds
from carobwalk.keyspace._server_work import rate_of
from carobwalk.model import Clock, ProcessId, ServerId, ServiceName

_REPORTER_SECONDS: Final = 3.0
_WINDOW_SECONDS: Final = 0.5
# Time in which all processes have reported to a new coordinator.
_FIRST_REPORTS_SECONDS: Final = 1.0
_COUNT_SECONDS: Final = 0.25


class LoadCollector:
    """Takes the reports of all processes.

    Args:
        clock: Clock of the windows.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported_by_process: dict[ProcessId, float] = {}
        self._loads_by_service: dict[ServiceName, KeyLoad] = {}
        self._work_by_life: dict[ServerLife, RequestTotals] = defaultdict(
            RequestTotals,
        )
        self._window_started = clock.now()
        self._last_heard = -math.inf
        self._heard_since = -math.inf
        self._counted_at = -math.inf
        self._count = 0
        self._crashes = CrashCounts(clock)
        self.speeds = ServerSpeeds()
        self.is_coordinator = False

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Take a report and answer it; a ``TopicHandler``."""
        now = self._clock.now()
        self._hear(sender, now)
        report = msgspec.msgpack.decode(payload, type=LoadReport)
        for load in report.services:
            self._take(load, now)
        for crash in report.crashes:
            life = ServerLife(ServerId(crash.server), crash.born)
            self._crashes.add(crash.fingerprint, life)
        return msgspec.msgpack.encode(
            LoadReceipt(
                self.is_coordinator,
                self.process_count(),
                self._crashes.culprits(),
            ),
        )

    def process_count(self) -> int:
        """Return the processes that reported lately, 0 if not known yet.

        A new coordinator has heard of few at first. Shares worked out from
        that would be many times too large.
        """
        now = self._clock.now()
        if now - self._heard_since < _FIRST_REPORTS_SECONDS:
            return 0
        if now - self._counted_at >= _COUNT_SECONDS:
            self._count_processes(now)
        return self._count

    def load_of(self, service: ServiceName) -> KeyLoad:
        """Return how often the keys of a service are asked for."""
        load = self._loads_by_service.get(service)
        if load is None:
            load = KeyLoad(self._clock.now())
            self._loads_by_service[service] = load
        return load

    def refresh(self, slots: int) -> None:
        """Work out service times when a window is over.

        Args:
            slots: Requests that a backend server runs at once.
        """
        now = self._clock.now()
        length = now - self._window_started
        if length < _WINDOW_SECONDS:
            return
        for life, work in self._work_by_life.items():
            self.speeds.record(life, rate_of(work, length), slots, now)
        self._work_by_life.clear()
        self._window_started = now

    def _hear(self, sender: ProcessId, now: float) -> None:
        if now - self._last_heard > _REPORTER_SECONDS:
            self._heard_since = now
        self._last_heard = now
        self._reported_by_process[sender] = now

    def _count_processes(self, now: float) -> None:
        limit = now - _REPORTER_SECONDS
        self._reported_by_process = {
            process: reported
            for process, reported in self._reported_by_process.items()
            if reported > limit
        }
        self._counted_at = now
        self._count = len(self._reported_by_process)

    def _take(self, load: ServiceLoad, now: float) -> None:
        self.load_of(ServiceName(load.service)).add(load.counts, now)
        for row in load.servers:
            life = ServerLife(ServerId(row.server), row.born)
            work = self._work_by_life[life]
            work.answers += row.answers
            work.given_up += row.given_up
            work.seconds += row.seconds
            if row.answers:
                self.speeds.heard(life, now)
