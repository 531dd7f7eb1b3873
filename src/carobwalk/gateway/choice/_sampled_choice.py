"""Choice among a few random servers by the load that all processes observe."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from heapq import nsmallest
from operator import attrgetter, itemgetter
from typing import Final

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._load_digest import ServerEstimate
from carobwalk.gateway.choice._locality import Locality
from carobwalk.gateway.choice._server_cost import ServerCost
from carobwalk.gateway.choice._shared_load import SharedLoad

HasConnection = Callable[[BackendServer, CallerRequest], bool]

# With more candidates, processes that have the same digest choose the same
# servers; with two, a slow pair is drawn more often.
_CANDIDATES: Final = 3
# Servers of which the digest must know this share, or it is too old for them.
_MIN_KNOWN_SHARE: Final = 0.5
# Factor on the cost of a server without an open connection. Costs that differ
# by less are equal within the precision of the digest.
_CONNECT_FACTOR: Final = 1.05


@dataclass(frozen=True, slots=True)
class _Candidate:
    server: BackendServer
    cost: float
    is_full: bool


class SampledChoice:
    """Chooses the best of three random servers, those at home first.

    Random candidates keep processes that have the same digest from all choosing
    the same server.

    Args:
        shared: Load as all processes observe it.
        cost: Estimates the time that a request takes at a server.
        locality: Location of this process.
        has_connection: Returns whether an open connection can carry a request
            to a server.
    """

    def __init__(
        self,
        shared: SharedLoad,
        cost: ServerCost,
        locality: Locality,
        has_connection: HasConnection,
    ) -> None:
        self._shared = shared
        self._cost = cost
        self._locality = locality
        self._has_connection = has_connection
        self.choices = 0

    def choose(
        self, servers: Sequence[BackendServer], request: CallerRequest
    ) -> BackendServer | None:
        """Return the server to send a request to.

        Args:
            servers: Servers that have capacity for the request.
            request: The request.

        Returns:
            The server, ``None`` if the digest is too old or knows too few of
            the servers.
        """
        weight = self._shared.weight
        # Most choices need no random number: the digest is fresh or missing.
        if weight <= 0 or (weight < 1 and random.random() >= weight):
            return None
        estimates = self._estimates(servers)
        if len(estimates) <= len(servers) * _MIN_KNOWN_SHARE:
            return None
        self.choices += 1
        return self._choose_by_location(estimates, request)

    def cost_of(
        self, server: BackendServer, request: CallerRequest
    ) -> float | None:
        """Return the cost of a server, ``None`` if the digest has none.

        Args:
            server: The server.
            request: The request.
        """
        estimate = self._shared.estimate(server)
        if estimate is None:
            return None
        return self._candidate(server, estimate, request).cost

    def _estimates(
        self, servers: Iterable[BackendServer]
    ) -> list[tuple[BackendServer, ServerEstimate]]:
        """Return the known servers with their estimates."""
        known = []
        for server in servers:
            estimate = self._shared.estimate(server)
            if estimate is not None:
                known.append((server, estimate))
        return known

    def _choose_by_location(
        self,
        estimates: list[tuple[BackendServer, ServerEstimate]],
        request: CallerRequest,
    ) -> BackendServer:
        """Return the best server at home, or elsewhere if home is full."""
        by_distance = defaultdict(list)
        for server, estimate in estimates:
            distance = self._locality.distance(server.data_centre)
            by_distance[distance].append((server, estimate))
        nearest, *farther = sorted(by_distance.items(), key=itemgetter(0))
        best = self._best_of_sample(nearest[1], request)
        for _, others in farther:
            # A faster server elsewhere is no reason to leave; waiting is.
            if not best.is_full:
                break
            other = self._best_of_sample(others, request)
            best = min(best, other, key=attrgetter('cost'))
        return best.server

    def _best_of_sample(
        self,
        estimates: list[tuple[BackendServer, ServerEstimate]],
        request: CallerRequest,
    ) -> _Candidate:
        """Return the cheapest of some random servers, fast ones preferred."""
        sample = nsmallest(_CANDIDATES, estimates, key=_random_order)
        return min(
            (
                self._candidate(server, estimate, request)
                for server, estimate in sample
            ),
            key=attrgetter('cost'),
        )

    def _candidate(
        self,
        server: BackendServer,
        estimate: ServerEstimate,
        request: CallerRequest,
    ) -> _Candidate:
        requests = self._cost.expected_requests(server, estimate)
        cost = self._cost.expected(server, estimate, request)
        if not self._has_connection(server, request):
            cost *= _CONNECT_FACTOR
        return _Candidate(server, cost, requests > server.slots)


def _random_order(known: tuple[BackendServer, ServerEstimate]) -> float:
    """Return a random number that is smaller the more a server can do.

    The smallest of such numbers form a sample without replacement, weighted by
    the requests per second that the servers can run.
    """
    server, estimate = known
    return random.expovariate(server.slots / estimate.seconds)
