"""What all connections of callers share."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.events import EventLog
from carobwalk.gateway._forwarder import Forwarder
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._request_meter import RequestMeter
from carobwalk.model import ServiceName
from carobwalk.routing import CallerLimits, RoutesInForce


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayService:
    """What all connections of callers share.

    Args:
        names: Names of header fields.
        routes: The routes in force.
        forwarder: Sends requests to backend servers.
        count_key: Counts a request for a key of a service.
        meter: Counts and times requests.
        events: Log of events.
        is_stopping: Returns whether the process is about to stop.
    """

    names: HeaderNames
    routes: RoutesInForce
    forwarder: Forwarder
    count_key: Callable[[ServiceName, int], None]
    meter: RequestMeter
    events: EventLog
    is_stopping: Callable[[], bool]

    def limits(self) -> CallerLimits:
        """Return the bounds on what callers may send."""
        table = self.routes.table
        return CallerLimits() if table is None else table.configuration.limits
