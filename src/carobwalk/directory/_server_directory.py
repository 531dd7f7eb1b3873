"""The backend servers that are registered now."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

import trio

from carobwalk.directory._backend_server import BackendServer
from carobwalk.directory._events import ServerChanged, ServerForgotten
from carobwalk.events import EventLog
from carobwalk.model import Clock, ServerId, ServiceName

# How long an entry may be missing after an outage of the store: servers that
# live have registered again by then.
RETURN_SECONDS: Final = 2.0
# How long a server that left keeps its keys while they are handed over.
LEAVING_SECONDS: Final = 1.2


class ServerDirectory:
    """Backend servers by id.

    Args:
        clock: Clock of the waits.
        events: Log of events.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self._by_id: dict[ServerId, BackendServer] = {}
        self._missing_since_by_id: dict[ServerId, float] = {}
        self._leaving_since_by_id: dict[ServerId, float] = {}
        self._gone_ids: set[ServerId] = set()
        self.is_loaded = False
        self.changed = trio.Event()

    def get(self, server: ServerId) -> BackendServer | None:
        """Return a registered server."""
        return self._by_id.get(server)

    def all_servers(self) -> tuple[BackendServer, ...]:
        """Return all servers, leaving ones included."""
        return tuple(self._by_id.values())

    def of_service(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service, leaving ones included."""
        return [
            server
            for server in self._by_id.values()
            if server.service == service
        ]

    def takes_keys(self, server: BackendServer) -> bool:
        """Return whether a server may still be sent work for its keys."""
        since = self._leaving_since_by_id.get(server.id)
        return since is None or self._clock.now() < since + LEAVING_SECONDS

    def put(self, server: BackendServer, revision: int) -> None:
        """Take a server's entry."""
        self._missing_since_by_id.pop(server.id, None)
        self._gone_ids.discard(server.id)
        if self._by_id.get(server.id) == server:
            return
        self._by_id[server.id] = server
        if server.is_leaving:
            now = self._clock.now()
            self._leaving_since_by_id.setdefault(server.id, now)
        else:
            self._leaving_since_by_id.pop(server.id, None)
        self._events.emit(
            ServerChanged(
                server=server.id,
                service=server.service,
                born=server.born,
                revision=revision,
                is_leaving=server.is_leaving,
            ),
        )
        self._notify()

    def remove(self, server: ServerId, cause: str) -> None:
        """Take in that a server's entry is gone.

        It counts as leaving until its keys can have been handed over.
        """
        self._missing_since_by_id.pop(server, None)
        gone = self._by_id.get(server)
        if gone is None:
            return
        self._events.emit(ServerForgotten(server, cause))
        self._by_id[server] = replace(gone, is_leaving=True)
        self._gone_ids.add(server)
        self._leaving_since_by_id.setdefault(server, self._clock.now())
        self._notify()

    def load(
        self,
        entries: Iterable[tuple[BackendServer, int]],
        *,
        after_outage: bool,
    ) -> None:
        """Take a whole listing.

        Args:
            entries: Servers with the revisions of their entries.
            after_outage: Whether the store was away: then entries that are
                missing stay for ``RETURN_SECONDS``.
        """
        listed = set()
        for server, revision in entries:
            listed.add(server.id)
            self.put(server, revision)
        for missing in self._by_id.keys() - listed - self._gone_ids:
            if after_outage or missing in self._missing_since_by_id:
                now = self._clock.now()
                self._missing_since_by_id.setdefault(missing, now)
            else:
                self.remove(missing, 'not listed')
        self.is_loaded = True

    def expire(self) -> None:
        """Forget the servers that are gone, or stayed missing too long."""
        limit = self._clock.now() - RETURN_SECONDS
        for server, since in tuple(self._missing_since_by_id.items()):
            if since <= limit:
                self.remove(server, 'missing after an outage of the store')
        for gone in tuple(self._gone_ids):
            if not self.takes_keys(self._by_id[gone]):
                self._gone_ids.discard(gone)
                self._by_id.pop(gone)
                self._leaving_since_by_id.pop(gone, None)
                self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
