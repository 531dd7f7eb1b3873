"""Choice of a backend server for requests that any server can run."""

import math
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._sampled_choice import SampledChoice
from carobwalk.gateway.choice._server_cost import ServerCost
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.model import ServerId, ServiceName

# Fraction of the time to the deadline that a request may be queued.
_MAX_WAIT_SHARE: Final = 0.35
_NO_SERVER_RETRY_SECONDS: Final = 0.3


class UnkeyedChooser:
    """Chooses the available server with the least expected latency.

    Args:
        candidates: Selects the servers that may be sent a request.
        loads: Load of each server.
        cost: Estimates the cost of a request at a server.
        sampled: Chooses by the load that all processes observe, ``None`` to
            choose by the load that this process observes.
    """

    def __init__(
        self,
        candidates: CandidateServers,
        loads: LoadTable,
        cost: ServerCost,
        sampled: SampledChoice | None = None,
    ) -> None:
        self._candidates = candidates
        self._loads = loads
        self._cost = cost
        self._sampled = sampled

    async def choose(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> Target | NoTarget:
        """Return a server with capacity, waiting for one if all are full.

        Args:
            service: Service that runs the request.
            request: The request.
            tried: Servers that the request was sent to before, which are not
                chosen again.

        Returns:
            The server, with the request counted in its load, or ``NoTarget``
            if none has capacity in time.
        """
        now = trio.current_time()
        service_latency = self._loads.service_latency(service)
        wait_until = now + (request.deadline - now) * _MAX_WAIT_SHARE
        queue = self._loads.queue_of(service)
        while trio.current_time() < wait_until:
            server = self._find_available(service, request, tried)
            if server is not None:
                self._loads.start(server)
                return Target(server)
            opens_at = trio.current_time() + self._pause(
                service, request, tried
            )
            may_free = self._may_free_capacity(service, request, tried)
            if not may_free and opens_at > wait_until:
                return _no_server(opens_at)
            with trio.move_on_at(min(wait_until, opens_at)):
                await queue.wait(request.route.rank)
        return NoTarget('all backend servers are full', service_latency)

    def _find_available(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> BackendServer | None:
        now = trio.current_time()
        available = [
            server
            for server in self._candidates.find(service, request, tried)
            if self._is_available(server, now)
        ]
        if self._sampled is not None and available:
            sampled = self._sampled.choose(available, request)
            if sampled is not None:
                return sampled
        return min(
            available,
            key=lambda server: self._cost.of(server, request, now),
            default=None,
        )

    def _is_available(self, server: BackendServer, now: float) -> bool:
        load = self._loads.of(server)
        if not load.has_capacity or load.ejected_until > now:
            return False
        return not self._loads.gates.pause(server)

    def _pause(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> float:
        """Return the seconds until a server that limits requests accepts one.

        It is infinite if none of the servers limits them.
        """
        candidates = self._candidates.find(service, request, tried)
        pauses = map(self._loads.gates.pause, candidates)
        return min(filter(None, pauses), default=math.inf)

    def _may_free_capacity(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> bool:
        """Return whether a request in flight may soon free capacity."""
        return any(
            self._loads.of(server).in_flight
            for server in self._candidates.find(service, request, tried)
        )


def _no_server(opens_at: float) -> NoTarget:
    """Return why no server accepts a request in time.

    Args:
        opens_at: Time from which one that limits its requests accepts one,
            infinity if there is none.
    """
    if math.isinf(opens_at):
        return NoTarget('no backend server is ready', _NO_SERVER_RETRY_SECONDS)
    seconds = opens_at - trio.current_time()
    return NoTarget('the backend servers limit their requests', seconds)
