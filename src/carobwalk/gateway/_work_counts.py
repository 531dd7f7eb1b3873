"""Work that one process saw of all backend servers."""

from carobwalk.directory import BackendServer
from carobwalk.gateway._counted_work import CountedWork
from carobwalk.gateway._life import Life
from carobwalk.model import ServiceName

WorkByLife = dict[Life, CountedWork]


class WorkCounts:
    """Work by service and life since it was last taken."""

    def __init__(self) -> None:
        self._work_by_service: dict[ServiceName, WorkByLife] = {}

    def of(self, server: BackendServer) -> CountedWork:
        """Return the counts of a server, to be added to."""
        work_by_life = self._work_by_service.setdefault(server.service, {})
        return work_by_life.setdefault(server.life, CountedWork())

    def take(self) -> dict[ServiceName, WorkByLife]:
        """Return what was counted since the last call."""
        taken = self._work_by_service
        self._work_by_service = {}
        return taken
