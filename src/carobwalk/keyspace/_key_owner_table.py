"""Lookup of key owners for requests."""

from collections import Counter, defaultdict

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway import KeyOwner
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.model import ServiceName


class KeyOwnerTable:
    """Looks up key owners and counts requests by key.

    Implements ``KeyOwners``.

    Args:
        reader: Current key maps.
        directory: Registered backend servers.
    """

    def __init__(self, reader: KeyReader, directory: ServerDirectory) -> None:
        self._reader = reader
        self._directory = directory
        self._counts_by_service: dict[ServiceName, Counter[int]] = defaultdict(
            Counter,
        )

    def find(self, service: ServiceName, key: int) -> KeyOwner | None:
        """Return the owner of a key, ``None`` if it has no usable owner."""
        key_map = self._reader.map_of(service)
        key_range = key_map.find(key) if key_map else None
        if key_range is None:
            return None
        server = self._directory.get(key_range.owner.server)
        if server is None or not self._is_usable(server, key_range.owner.born):
            return None
        return KeyOwner(server, key_range.is_granted, key_range.fence)

    def count(self, service: ServiceName, key: int) -> None:
        """Count one request for a key."""
        self._counts_by_service[service][key] += 1

    def pop_counts(self) -> dict[ServiceName, Counter[int]]:
        """Return and reset the request counts by service and key."""
        counts = dict(self._counts_by_service)
        self._counts_by_service.clear()
        return counts

    async def wait_for_change(self, service: ServiceName) -> None:
        """Wait until the owners of a service's keys may have changed."""
        async with trio.open_nursery() as nursery:
            for event in (
                self._reader.changed,
                self._directory.changed,
                self._directory.evacuations.changed,
            ):
                nursery.start_soon(_cancel_when, event, nursery.cancel_scope)

    def _is_usable(self, server: BackendServer, born: int) -> bool:
        return server.born == born and self._directory.accepts_keyed_requests(
            server
        )


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
