"""State shared by all connections of callers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from carobwalk.events import EventLog
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway.caller._answer_sizes import AnswerSizes
from carobwalk.gateway.caller._request_meter import RequestMeter
from carobwalk.gateway.upstream._forwarder import Forwarder
from carobwalk.http import AnswerMemory, Shutdown
from carobwalk.model import ServiceName
from carobwalk.routing import ActiveRoutes, CallerLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayService:
    """State shared by all connections of callers.

    Args:
        names: Names of the header fields exchanged with callers.
        routes: Routing configuration in force.
        forwarder: Sends requests to backend servers.
        count_key: Counts a request for a key of a service, for the balancing of
            keys over servers.
        answer_memory: Limits the memory that answers use.
        meter: Counts and times requests.
        events: Event log.
        is_stopping: Returns whether the process is shutting down.
        shutdown: Bounds requests by the end of the process.
        answer_sizes: Sizes of recent answers.
    """

    names: HeaderNames
    routes: ActiveRoutes
    forwarder: Forwarder
    count_key: Callable[[ServiceName, int], None]
    answer_memory: AnswerMemory
    meter: RequestMeter
    events: EventLog
    is_stopping: Callable[[], bool]
    shutdown: Shutdown
    answer_sizes: AnswerSizes = field(default_factory=AnswerSizes)

    def limits(self) -> CallerLimits:
        """Return the limits on callers, the defaults before configuration."""
        table = self.routes.table
        return CallerLimits() if table is None else table.configuration.limits
