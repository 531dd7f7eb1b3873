"""What the connections of one backend server share."""

from dataclasses import dataclass, field
from uuid import uuid4

import trio

from carobwalk.model import Clock
from carobwalk.ownership import GrantTable
from standins.backend._load_board import LoadBoard
from standins.backend._run_log import RunLog
from standins.backend._settings import BackendSettings
from standins.backend._slots import Slots


@dataclass(slots=True)
class BackendState:
    """State of one incarnation of a backend server.

    Args:
        settings: How the server behaves.
        clock: Clock that grants and records are counted on.
        incarnation: Random name of this incarnation.
        grants: Shards that the server may serve.
        log: Records of the requests it ran.
        board: What its load endpoints tell.
        slots: Limits of what runs and waits.
        connections: Open connections.
        runs: Count of runs so far.
    """

    settings: BackendSettings
    clock: Clock
    incarnation: str
    grants: GrantTable
    log: RunLog
    board: LoadBoard
    slots: Slots
    connections: int = 0
    runs: int = 0
    started_at: float = field(default_factory=trio.current_time)

    def slowness(self) -> float:
        """Return the ratio of a request's time to that of a warm server."""
        settings = self.settings
        age = trio.current_time() - self.started_at
        if age >= settings.cold_seconds:
            return 1
        cold_share = 1 - age / settings.cold_seconds
        return 1 + (settings.cold_factor - 1) * cold_share


def make_state(settings: BackendSettings, clock: Clock) -> BackendState:
    """Return the state of a server that has just started."""
    incarnation = uuid4().hex
    board = LoadBoard(settings.report_lag, settings.reports_idle)
    return BackendState(
        settings=settings,
        clock=clock,
        incarnation=incarnation,
        grants=GrantTable(incarnation),
        log=RunLog(settings.log_path),
        board=board,
        slots=Slots(settings.slots, settings.backlog, board),
    )
