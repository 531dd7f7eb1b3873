"""Loads of all backend servers, as this process knows them."""

from collections import defaultdict
from typing import Final

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._life import Life
from carobwalk.gateway._server_load import ServerLoad
from carobwalk.gateway._waiting_line import WaitingLine
from carobwalk.gateway._work_counts import WorkCounts
from carobwalk.model import ServiceName

_FIRST_LATENCY_SECONDS: Final = 0.1
_WEIGHT_OF_NEW: Final = 0.02
# Requests of this process that may queue at a server beyond its slots.
_QUEUED: Final = 2
# Requests that a backend server with 4 slots holds, running or queued.
_HELD_PER_SLOT: Final = 5
_LEAST_LIMIT: Final = 2


class LoadTable:
    """Loads by life of a backend server.

    Args:
        directory: Registered backend servers.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._loads_by_life: dict[Life, ServerLoad] = {}
        self._latencies_by_service: dict[ServiceName, float] = {}
        self._lines_by_service: dict[ServiceName, WaitingLine] = defaultdict(
            WaitingLine,
        )
        self.work = WorkCounts()
        self.process_count = 12

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server."""
        load = self._loads_by_life.get(server.life)
        if load is None:
            load = ServerLoad(server.slots + _QUEUED)
            self._loads_by_life[server.life] = load
        return load

    def of_keyed(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server that all processes send to alike."""
        load = self.of(server)
        held = server.slots * _HELD_PER_SLOT
        share = held / max(self.process_count, 1)
        load.highest_limit = max(share + 1, _LEAST_LIMIT)
        load.limit = min(load.limit, load.highest_limit)
        return load

    def line_of(self, service: ServiceName) -> WaitingLine:
        """Return the requests that wait for any server of a service."""
        return self._lines_by_service[service]

    def usual_latency(self, service: ServiceName) -> float:
        """Return the latency of a service's answers in seconds."""
        return self._latencies_by_service.get(service, _FIRST_LATENCY_SECONDS)

    def record_answer(
        self,
        server: BackendServer,
        now: float,
        seconds: float,
    ) -> None:
        """Take in the latency of an answer.

        Args:
            server: Server that answered.
            now: Present time.
            seconds: Latency of the answer.
        """
        self.of(server).record_answer(now, seconds)
        usual = self.usual_latency(server.service)
        self._latencies_by_service[server.service] = (
            usual + (seconds - usual) * _WEIGHT_OF_NEW
        )
        counted = self.work.of(server)
        counted.answers += 1
        counted.seconds += seconds

    def record_given_up(
        self,
        server: BackendServer,
        now: float,
        seconds: float,
    ) -> None:
        """Take in that a request was given up without an answer.

        Args:
            server: Server that did not answer.
            now: Present time.
            seconds: Time that the request was in flight.
        """
        self.of(server).record_slow(now, seconds)
        counted = self.work.of(server)
        counted.given_up += 1
        counted.seconds += seconds

    def finish(self, server: BackendServer) -> None:
        """Count the end of a request at a server."""
        self.of(server).finish()
        self._lines_by_service[server.service].wake()

    def forget_gone(self) -> None:
        """Drop the loads of servers that are not registered any more."""
        lives = {server.life for server in self._directory.all_servers()}
        for life, load in tuple(self._loads_by_life.items()):
            if life not in lives and not load.in_flight:
                self._loads_by_life.pop(life)
