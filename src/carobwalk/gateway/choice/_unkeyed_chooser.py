"""Choice of a backend server for requests that any server can run."""

import math
from collections.abc import Iterable
from functools import partial
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._queue_wait import QueueWait, WaitCauses
from carobwalk.gateway.choice._sampled_choice import SampledChoice
from carobwalk.gateway.choice._server_cost import ServerCost
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.model import ServerId, ServiceName

_NO_SERVER_RETRY_SECONDS: Final = 0.3
_CAUSES: Final = WaitCauses(
    'all backend servers are full',
    'too many requests wait for the backend servers',
)


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
        cold = self._choose_cold(service, request, tried)
        if cold is not None:
            return self._start(cold, request)
        queue = self._loads.queue_of(service)
        latency = self._loads.service_latency(service)
        waiting = QueueWait(
            queue,
            request,
            latency,
            _CAUSES,
            partial(self._candidates.accepts, request, tried),
        )
        while True:
            server = self._find_available(service, request, tried)
            if server is not None and waiting.may_start(server):
                return self._start(server, request)
            opens_at = trio.current_time() + self._pause(
                service, request, tried
            )
            may_free = self._may_free_capacity(service, request, tried)
            if not server and not may_free and opens_at > waiting.leaves_at:
                excluded = self._candidates.refusal(service, request)
                return excluded or _no_server(opens_at)
            queue.parts.capacity = _total_limit(
                self._loads,
                self._candidates.find(service, request, frozenset()),
            )
            refusal = waiting.refusal()
            if refusal is not None:
                return refusal
            await waiting.wait(
                opens_at,
                free=server,
                is_valid=partial(self._are_all_full, service, request, tried),
            )

    def _are_all_full(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> bool:
        """Return whether no server has capacity.

        A server that registers, or is reachable again, has some without the
        end of a request.
        """
        now = trio.current_time()
        loads = map(
            self._loads.of, self._candidates.find(service, request, tried)
        )
        return not any(
            load.has_capacity and load.ejected_until <= now for load in loads
        )

    def _start(self, server: BackendServer, request: CallerRequest) -> Target:
        """Count a request; wake the next one if more capacity is left."""
        self._loads.start(server, request.route.name)
        queue = self._loads.queue_of(server.service)
        if queue:
            free = self._find_available(server.service, request, frozenset())
            if free is not None:
                queue.wake(free)
        return Target(server)

    def may_send(self, request: CallerRequest, server: BackendServer) -> bool:
        """Return whether the location of a chosen server still permits it."""
        return self._candidates.permits(request, server, is_keyed=False)

    def _choose_cold(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> BackendServer | None:
        """Return the cold server that a request was drawn for, if it may go.

        It is preferred to warm ones, since only so many requests are drawn as
        it can take.
        """
        warmups = self._loads.warmups
        cold = warmups.choose(service, request)
        if cold is None:
            return None
        if cold not in self._candidates.permitted(service, request, tried):
            return None
        is_available = self._is_available(cold) and warmups.take(cold)
        return cold if is_available else None

    def _is_available(self, server: BackendServer) -> bool:
        load = self._loads.of(server)
        if not load.has_capacity or load.ejected_until > trio.current_time():
            return False
        return not self._loads.gates.pause(server)

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
            if self._is_available(server)
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


def _total_limit(loads: LoadTable, servers: Iterable[BackendServer]) -> float:
    """Return how many requests of this process some servers may hold."""
    return sum(loads.of(server).limit for server in servers)


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
