"""Cost of sending a request to a backend server."""

import random
from typing import Final

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._load_digest import ServerEstimate
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._locality import Locality

# Greatest random increase of a server's cost, as a fraction of it. Keeps
# processes from all choosing the same server.
_MAX_JITTER_SHARE: Final = 0.1


class ServerCost:
    """Estimates how long requests take at a server, and what they cost.

    Args:
        loads: Load of each server.
        locality: Location of this process, for the cost of remote servers.
    """

    def __init__(self, loads: LoadTable, locality: Locality) -> None:
        self._loads = loads
        self._locality = locality

    def expected_requests(
        self, server: BackendServer, estimate: ServerEstimate
    ) -> float:
        """Return the requests at a server, with the one to be sent.

        Args:
            server: The server.
            estimate: What all processes observed of it.
        """
        load = self._loads.by_incarnation.get(server.incarnation)
        own = load.in_flight if load else 0
        return self._loads.shared.in_flight(server, estimate, own) + 1

    def expected(
        self,
        server: BackendServer,
        estimate: ServerEstimate,
        request: CallerRequest,
    ) -> float:
        """Return the cost in seconds by what all processes observed.

        Args:
            server: The server.
            estimate: What all processes observed of it.
            request: The request.
        """
        requests = self.expected_requests(server, estimate)
        cost = estimate.seconds * max(1, requests / server.slots)
        return cost + self._locality.latency_penalty(
            server.data_centre,
            len(request.body),
            request.route.target_latency,
        )

    def of(
        self, server: BackendServer, request: CallerRequest, now: float
    ) -> float:
        """Return the cost of a request at a server in seconds of latency.

        Args:
            server: The server.
            request: The request.
            now: Current time in seconds.
        """
        jitter = 1 + random.random() * _MAX_JITTER_SHARE
        return self.observed(server, request, now, jitter)

    def observed(
        self,
        server: BackendServer,
        request: CallerRequest,
        now: float,
        jitter: float = 1,
    ) -> float:
        """Return the cost in seconds by what this process observed.

        Args:
            server: The server.
            request: The request.
            now: Current time in seconds.
            jitter: Factor on the cost of the server itself.
        """
        cost = self._loads.service_latency(server.service)
        load = self._loads.by_incarnation.get(server.incarnation)
        if load is not None:
            load_factor = load.in_flight / server.slots
            cost = load.latency(now, cost) * (1 + load_factor)
        return cost * jitter + self._locality.latency_penalty(
            server.data_centre,
            len(request.body),
            request.route.target_latency,
        )
