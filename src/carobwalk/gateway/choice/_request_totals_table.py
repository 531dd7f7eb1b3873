"""Totals of the requests that this process sent to all backend servers."""

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.gateway.choice._request_totals import RequestTotals
from carobwalk.model import ServiceName

TotalsByIncarnation = dict[ServerIncarnation, RequestTotals]


class RequestTotalsTable:
    """Request totals by service and incarnation since the last ``pop_all``."""

    def __init__(self) -> None:
        self._totals_by_service: dict[ServiceName, TotalsByIncarnation] = {}

    def of(self, server: BackendServer) -> RequestTotals:
        """Return the mutable totals of a server, starting at zero."""
        totals_by_incarnation = self._totals_by_service.setdefault(
            server.service, {}
        )
        return totals_by_incarnation.setdefault(
            server.incarnation, RequestTotals()
        )

    def pop_all(self) -> dict[ServiceName, TotalsByIncarnation]:
        """Return the totals since the last call and start new ones."""
        taken = self._totals_by_service
        self._totals_by_service = {}
        return taken
