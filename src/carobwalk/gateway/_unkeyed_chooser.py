"""Choice of a backend server for requests that any server can run."""

import random
from typing import Final

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._load_table import LoadTable
from carobwalk.gateway._place import Place
from carobwalk.gateway._target import NoTarget, Target
from carobwalk.model import ServerId, ServiceName

_JITTER: Final = 0.1
# Part of the time left that a request may wait for room.
_WAIT_SHARE: Final = 0.35
_NONE_READY_SECONDS: Final = 0.3


class UnkeyedChooser:
    """Chooses the server with the least expected latency.

    Args:
        directory: Registered backend servers.
        loads: Loads of the servers.
        place: Where this process is.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        loads: LoadTable,
        place: Place,
    ) -> None:
        self._directory = directory
        self._loads = loads
        self._place = place

    async def choose(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> Target | NoTarget:
        """Return a server with room, after a wait if all are full.

        Args:
            service: Service that runs the request.
            request: The request.
            tried: Servers that it was sent to before.
        """
        now = trio.current_time()
        usual = self._loads.usual_latency(service)
        give_up = now + (request.deadline - now) * _WAIT_SHARE
        line = self._loads.line_of(service)
        while True:
            server = self._find(service, request, tried)
            if server is not None:
                self._loads.of(server).start()
                return Target(server)
            if not self._has_hope(service, tried):
                return NoTarget(
                    'no backend server is ready', _NONE_READY_SECONDS
                )
            with trio.move_on_at(give_up):
                await line.wait(request.route.rank)
                continue
            return NoTarget('all backend servers are full', usual)

    def _find(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> BackendServer | None:
        now = trio.current_time()
        usual = self._loads.usual_latency(service)
        best: BackendServer | None = None
        best_cost = float('inf')
        for server in self._candidates(service, tried):
            load = self._loads.of(server)
            if not load.has_room or load.suspended_until > now:
                continue
            queue = load.in_flight / server.slots
            cost = load.latency(now, usual) * (1 + queue)
            cost *= 1 + random.random() * _JITTER
            cost += self._place.penalty(server.data_centre, len(request.body))
            if cost < best_cost:
                best = server
                best_cost = cost
        return best

    def _has_hope(
        self,
        service: ServiceName,
        tried: frozenset[ServerId],
    ) -> bool:
        """Return whether some server may have room soon."""
        return any(
            self._loads.of(server).in_flight
            for server in self._candidates(service, tried)
        )

    def _candidates(
        self,
        service: ServiceName,
        tried: frozenset[ServerId],
    ) -> list[BackendServer]:
        return [
            server
            for server in self._directory.of_service(service)
            if not server.is_leaving and server.id not in tried
        ]
