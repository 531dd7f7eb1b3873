"""Directory of the registered backend servers."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

import trio

from carobwalk.directory._backend_server import BackendServer
from carobwalk.directory._cold_servers import ColdServers
from carobwalk.directory._evacuations import (
    DEFAULT_EVACUATION_SECONDS,
    Evacuations,
)
from carobwalk.directory._events import (
    LeavingAnnounced,
    ServerChanged,
    ServerCold,
    ServerForgotten,
    ServerWarm,
)
from carobwalk.directory._leaving_servers import LeavingServers
from carobwalk.directory._server_incarnation import ServerIncarnation
from carobwalk.events import EventLog
from carobwalk.model import Clock, ServerId, ServiceName

# How long an entry may be missing after an outage of the store. Servers that
# are alive have registered again by then.
REREGISTRATION_GRACE_SECONDS: Final = 2.0


class ServerDirectory:
    """Registered backend servers, with grace periods for their removal.

    Args:
        clock: Clock by which the grace periods are measured.
        events: Event log.
        evacuation_seconds: Seconds after the request for the evacuation of a
            data centre from which no request arrives there.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        evacuation_seconds: float = DEFAULT_EVACUATION_SECONDS,
    ) -> None:
        self._clock = clock
        self._events = events
        self._by_id: dict[ServerId, BackendServer] = {}
        self._missing_since_by_id: dict[ServerId, float] = {}
        self.leaving = LeavingServers(clock)
        self.evacuations = Evacuations(clock, events, evacuation_seconds)
        self.cold = ColdServers(clock)
        self._removed_ids: set[ServerId] = set()
        self.is_loaded = False
        self.changed = trio.Event()

    def get(self, server: ServerId) -> BackendServer | None:
        """Return a server by id, ``None`` if it is unknown."""
        return self._by_id.get(server)

    def all_servers(self) -> tuple[BackendServer, ...]:
        """Return all servers, including leaving ones."""
        return tuple(self._by_id.values())

    def of_service(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service, including leaving ones."""
        return [
            server
            for server in self._by_id.values()
            if server.service == service
        ]

    def accepts_keyed_requests(self, server: BackendServer) -> bool:
        """Return whether a server may be sent requests for its keys."""
        return self.leaving.may_hand_over(
            server.id
        ) and self.evacuations.accepts_keyed_requests(server.data_centre)

    def put(self, server: BackendServer, revision: int) -> None:
        """Add or update the entry of a server.

        Args:
            server: Content of the entry.
            revision: Store revision of the entry, for the log.
        """
        self._missing_since_by_id.pop(server.id, None)
        self._removed_ids.discard(server.id)
        if self.cold.record(server, revision):
            self._events.emit(_cold_event(server))
        if self.leaving.has_announced(server.incarnation):
            # The registry learns later what the server says in its answers.
            server = replace(server, is_leaving=True)
        if self._by_id.get(server.id) == server:
            return
        self._by_id[server.id] = server
        if server.is_leaving:
            self.leaving.add(server.id)
        else:
            self.leaving.discard(server.id)
        self._events.emit(
            ServerChanged(
                server=server.id,
                service=server.service,
                born=server.born,
                revision=revision,
                is_leaving=server.is_leaving,
            ),
        )
        self.changed = _renew(self.changed)

    def record_leaving(self, incarnation: ServerIncarnation) -> None:
        """Record that a server said in an answer that it is shutting down.

        It stays so for this incarnation, whatever the registry says.
        """
        server = self._by_id.get(incarnation.server)
        is_known = self.leaving.has_announced(incarnation)
        if server is None or server.incarnation != incarnation or is_known:
            return
        self.leaving.announce(incarnation)
        self.leaving.add(server.id)
        self._events.emit(LeavingAnnounced(server.id))
        self._by_id[server.id] = replace(server, is_leaving=True)
        self.changed = _renew(self.changed)

    def remove(self, server: ServerId, cause: str) -> None:
        """Handle the removal of a server's entry.

        The server is listed as leaving until ``expire`` finds that the time
        to hand over its keys has passed.

        Args:
            server: Id of the server.
            cause: Why its entry is considered removed, for the log.
        """
        self._missing_since_by_id.pop(server, None)
        removed = self._by_id.get(server)
        if removed is None:
            return
        self._events.emit(ServerForgotten(server, cause))
        self._by_id[server] = replace(removed, is_leaving=True)
        self._removed_ids.add(server)
        self.leaving.add(server)
        self.changed = _renew(self.changed)

    def load(
        self,
        entries: Iterable[tuple[BackendServer, int]],
        *,
        after_outage: bool,
    ) -> None:
        """Replace the content by a complete listing of the store.

        Args:
            entries: Servers with the store revisions of their entries.
            after_outage: Whether the store was unavailable before. If so,
                missing entries are kept for ``REREGISTRATION_GRACE_SECONDS``.
        """
        listed = set()
        for server, revision in entries:
            listed.add(server.id)
            self.put(server, revision)
        for missing in self._by_id.keys() - listed - self._removed_ids:
            if after_outage or missing in self._missing_since_by_id:
                now = self._clock.now()
                self._missing_since_by_id.setdefault(missing, now)
            else:
                self.remove(missing, 'not listed')
        self.is_loaded = True

    def expire(self) -> None:
        """End what is past its grace period; log servers that are warm."""
        self.evacuations.expire()
        for warm in self.cold.pop_warmed():
            self._events.emit(ServerWarm(warm.id, warm.service, warm.born))
        limit = self._clock.now() - REREGISTRATION_GRACE_SECONDS
        for server, since in tuple(self._missing_since_by_id.items()):
            if since <= limit:
                self.remove(server, 'missing after an outage of the store')
        for removed in tuple(self._removed_ids):
            if not self.leaving.may_hand_over(removed):
                self._removed_ids.discard(removed)
                self._by_id.pop(removed)
                self.leaving.discard(removed)
                self.cold.discard(removed)
                self.changed = _renew(self.changed)


def _cold_event(server: BackendServer) -> ServerCold:
    seconds = round(server.warmup_left or 0, 3)
    return ServerCold(server.id, server.service, server.born, seconds)


def _renew(changed: trio.Event) -> trio.Event:
    """Wake all tasks that wait for a change; return the event of the next."""
    changed.set()
    return trio.Event()
