"""State shared by the connections of a backend server."""

from dataclasses import dataclass, field
from uuid import uuid4

import trio

from carobwalk.model import Clock
from carobwalk.ownership import GrantTable
from standins.backend._load_reporter import LoadReporter
from standins.backend._run_log import RunLog
from standins.backend._settings import BackendSettings
from standins.backend._slots import Slots


@dataclass(slots=True)
class BackendState:
    """State of one incarnation of a backend server.

    Args:
        settings: Settings of the server.
        clock: Clock of grants and run records.
        incarnation: Random id of this incarnation.
        grants: Grants that the server holds.
        log: Run records.
        load_reporter: Source of the load endpoints.
        slots: Concurrency limit and backlog.
        connections: Number of open connections.
        runs: Number of runs so far.
    """

    settings: BackendSettings
    clock: Clock
    incarnation: str
    grants: GrantTable
    log: RunLog
    load_reporter: LoadReporter
    slots: Slots
    connections: int = 0
    runs: int = 0
    started_at: float = field(default_factory=trio.current_time)

    def slowdown(self) -> float:
        """Return the ratio of the service time to that of a warm server."""
        settings = self.settings
        age = trio.current_time() - self.started_at
        if age >= settings.cold_seconds:
            return 1
        cold_share = 1 - age / settings.cold_seconds
        return 1 + (settings.cold_factor - 1) * cold_share


def make_state(settings: BackendSettings, clock: Clock) -> BackendState:
    """Return the initial state of a server."""
    incarnation = uuid4().hex
    load_reporter = LoadReporter(settings.report_lag, settings.reports_idle)
    return BackendState(
        settings=settings,
        clock=clock,
        incarnation=incarnation,
        grants=GrantTable(incarnation),
        log=RunLog(settings.log_path),
        load_reporter=load_reporter,
        slots=Slots(settings.slots, settings.backlog, load_reporter),
    )
