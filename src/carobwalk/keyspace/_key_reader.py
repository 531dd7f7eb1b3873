"""What the records in the store say of keys and coordinator."""

import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._codec import (
    COORDINATOR_NAME,
    MAP_PREFIX,
    decode_coordinator,
    decode_map,
)
from carobwalk.keyspace._events import (
    CoordinatorChanged,
    KeyMapChanged,
    KeyRecordDamaged,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.model import Endpoint, ServiceName
from carobwalk.store import Listing, Removed, Versioned


class KeyReader:
    """Maps and coordinator as they were last read; a ``RecordReader``.

    Args:
        events: Log of events.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._maps_by_service: dict[ServiceName, KeyMap] = {}
        self.coordinator: Endpoint | None = None
        self.changed = trio.Event()

    def map_of(self, service: ServiceName) -> KeyMap | None:
        """Return the map of a service's keys."""
        return self._maps_by_service.get(service)

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all records."""
        if all(row.name != COORDINATOR_NAME for row in listing.records):
            self._set_coordinator(None, listing.revision)
        for row in listing.records:
            self._take(row)
        self._notify()

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change."""
        if isinstance(change, Versioned):
            self._take(change)
        elif change.name == COORDINATOR_NAME:
            self._set_coordinator(None, change.revision)
        self._notify()

    def _take(self, row: Versioned) -> None:
        if row.name == COORDINATOR_NAME:
            self._take_coordinator(row)
        elif row.name.startswith(MAP_PREFIX):
            self._take_map(row)

    def _take_coordinator(self, row: Versioned) -> None:
        decoded = decode_coordinator(row.content)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(KeyRecordDamaged(row.name, detail))
            return
        self._set_coordinator(decoded.ok_value, row.revision)

    def _take_map(self, row: Versioned) -> None:
        service = ServiceName(row.name.removeprefix(MAP_PREFIX))
        known = self._maps_by_service.get(service)
        if known is not None and known.revision >= row.revision:
            return
        decoded = decode_map(row.content, row.revision)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(KeyRecordDamaged(row.name, detail))
            return
        key_map = decoded.ok_value
        self._maps_by_service[service] = key_map
        self._events.emit(
            KeyMapChanged(
                service,
                row.revision,
                len(key_map),
                sum(1 for part in key_map if not part.is_granted),
            ),
        )

    def _set_coordinator(
        self,
        endpoint: Endpoint | None,
        revision: int,
    ) -> None:
        if endpoint != self.coordinator:
            self.coordinator = endpoint
            name = endpoint.name if endpoint else ''
            self._events.emit(CoordinatorChanged(name, revision))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
