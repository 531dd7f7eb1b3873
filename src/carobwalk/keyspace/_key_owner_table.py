"""Owners of keys, as requests need them."""

from collections import Counter, defaultdict

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway import KeyOwner
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.model import ServiceName


class KeyOwnerTable:
    """Looks up owners, and counts what is asked for; a ``KeyOwners``.

    Args:
        reader: What the records say.
        directory: Registered backend servers.
    """

    def __init__(self, reader: KeyReader, directory: ServerDirectory) -> None:
        self._reader = reader
        self._directory = directory
        self._counts_by_service: dict[ServiceName, Counter[int]] = defaultdict(
            Counter,
        )

    def find(self, service: ServiceName, key: int) -> KeyOwner | None:
        """Return the owner of a key, ``None`` while it has none."""
        key_map = self._reader.map_of(service)
        part = key_map.find(key) if key_map else None
        if part is None:
            return None
        server = self._directory.get(part.owner.server)
        if server is None or not self._is_usable(server, part.owner.born):
            return None
        return KeyOwner(server, part.is_granted)

    def count(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        self._counts_by_service[service][key] += 1

    def take_counts(self) -> dict[ServiceName, Counter[int]]:
        """Return the requests by service and key since the last call."""
        counts = dict(self._counts_by_service)
        self._counts_by_service.clear()
        return counts

    async def wait_for_change(self, service: ServiceName) -> None:
        """Wait until owners of a service's keys may have changed."""
        async with trio.open_nursery() as nursery:
            for event in (self._reader.changed, self._directory.changed):
                nursery.start_soon(_cancel_when, event, nursery.cancel_scope)

    def _is_usable(self, server: BackendServer, born: int) -> bool:
        return server.born == born and self._directory.accepts_keyed_requests(
            server
        )


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
