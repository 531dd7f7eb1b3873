"""Load of all backend servers as this process observes it."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.gateway.choice._admission import Admission
from carobwalk.gateway.choice._demand_counter import DemandCounter
from carobwalk.gateway.choice._priority_queue import PriorityQueue
from carobwalk.gateway.choice._process_count import INITIAL_PROCESS_COUNT
from carobwalk.gateway.choice._request_totals_table import RequestTotalsTable
from carobwalk.gateway.choice._send_gates import SendGates
from carobwalk.gateway.choice._server_load import ServerLoad
from carobwalk.gateway.choice._shared_load import SharedLoad
from carobwalk.gateway.choice._warmups import Warmups, never_limited
from carobwalk.model import ServiceName
from carobwalk.shares import ProcessShare

_INITIAL_LATENCY_SECONDS: Final = 0.1
# Weight of a new latency in the moving average of a service.
_SMOOTHING_FACTOR: Final = 0.02
# Requests beyond a server's slots that this process may have queued there.
_QUEUED_PER_SERVER: Final = 2
# Requests, running or queued, that a backend server accepts per slot; the ratio
# is that of a server with 4 slots.
_MAX_REQUESTS_PER_SLOT: Final = 5
_MIN_LIMIT: Final = 2


def initial_limit(server: BackendServer) -> float:
    """Return the limit of a process at a server of which it knows nothing."""
    return server.slots + _QUEUED_PER_SERVER


def keyed_limit(server: BackendServer, process_count: int) -> float:
    """Return the highest limit of each process at a server that owns keys.

    Args:
        server: The server.
        process_count: Number of processes that send to it.
    """
    max_requests = server.slots * _MAX_REQUESTS_PER_SLOT
    share = max_requests / max(process_count, 1)
    return max(share + 1, _MIN_LIMIT)


class LoadTable:
    """Load of each incarnation of a backend server.

    Args:
        directory: Registered backend servers; the loads of others are
            removed.
        share: Share of this process in the limits of servers.
        is_limited: Returns whether the cold servers of a service are limited.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        share: ProcessShare,
        is_limited: Callable[[ServiceName], bool] = never_limited,
    ) -> None:
        self._directory = directory
        self.gates = SendGates(self.of, directory, share)
        self._loads_by_incarnation: dict[ServerIncarnation, ServerLoad] = {}
        self._latencies_by_service: dict[ServiceName, float] = {}
        self._queues_by_service: dict[ServiceName, PriorityQueue] = defaultdict(
            PriorityQueue,
        )
        # For readers that must not add a load or a queue.
        self.by_incarnation: Mapping[ServerIncarnation, ServerLoad] = (
            MappingProxyType(self._loads_by_incarnation)
        )
        self.queues: Mapping[ServiceName, PriorityQueue] = MappingProxyType(
            self._queues_by_service
        )
        self.totals = RequestTotalsTable()
        self.shared = SharedLoad()
        self.admission = Admission()
        self.warmups = Warmups(directory, is_limited)
        self.demand = DemandCounter()
        self.process_count = INITIAL_PROCESS_COUNT

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server, a new one if it is unknown."""
        load = self._loads_by_incarnation.get(server.incarnation)
        if load is None:
            load = ServerLoad(initial_limit(server))
            self._loads_by_incarnation[server.incarnation] = load
        return load

    def of_keyed(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server that owns keys.

        All processes send to it at similar rates, so each of them limits
        itself to an equal share of the requests that the server accepts.
        """
        load = self.of(server)
        load.max_limit = keyed_limit(server, self.process_count)
        load.limit = min(load.limit, load.max_limit)
        return load

    def start(self, server: BackendServer, route: str = '') -> None:
        """Count a request that is about to be sent to a server.

        Args:
            server: The server.
            route: Name of the request's route.
        """
        self.of(server).start(route)
        self.shared.add(server, 1)
        self._queues_by_service[server.service].parts.start(route)
        self.gates.admit(server)

    def queue_of(self, service: ServiceName) -> PriorityQueue:
        """Return the queue of requests that any server of a service may run."""
        return self._queues_by_service[service]

    def service_latency(self, service: ServiceName) -> float:
        """Return the moving average of a service's latency in seconds."""
        return self._latencies_by_service.get(service, _INITIAL_LATENCY_SECONDS)

    def record_answer(
        self,
        server: BackendServer,
        now: float,
        seconds: float,
    ) -> None:
        """Record the latency of an answer.

        Args:
            server: Server that answered.
            now: Current time in seconds.
            seconds: Latency of the answer.
        """
        self.of(server).record_answer(now, seconds)
        service_latency = self.service_latency(server.service)
        self._latencies_by_service[server.service] = (
            service_latency + (seconds - service_latency) * _SMOOTHING_FACTOR
        )
        totals = self.totals.of(server)
        totals.answers += 1
        totals.seconds += seconds

    def record_abandoned(
        self,
        server: BackendServer,
        now: float,
        seconds: float,
    ) -> None:
        """Record that a request was abandoned without an answer.

        Args:
            server: Server that did not answer.
            now: Current time in seconds.
            seconds: Time that the request was in flight.
        """
        self.of(server).record_slow(now, seconds)
        totals = self.totals.of(server)
        totals.given_up += 1
        totals.seconds += seconds

    def finish(self, server: BackendServer, route: str = '') -> None:
        """Record that a request at a server has ended.

        Args:
            server: The server.
            route: Name of the request's route.
        """
        self.of(server).finish(route)
        self.shared.add(server, -1)
        queue = self._queues_by_service[server.service]
        queue.parts.finish(route)
        queue.wake(server)

    def remove_unregistered(self) -> None:
        """Remove the loads of servers that are no longer registered."""
        incarnations = {
            server.incarnation for server in self._directory.all_servers()
        }
        for incarnation, load in tuple(self._loads_by_incarnation.items()):
            if incarnation not in incarnations and not load.in_flight:
                self._loads_by_incarnation.pop(incarnation)
