"""Current coordinator and key maps of a process."""

import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._coordinator_record import COORDINATOR_NAME
from carobwalk.keyspace._events import (
    CoordinatorChanged,
    KeyMapChanged,
    KeyRecordDamaged,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_decoding import VersionedMap, decode_update
from carobwalk.keyspace._map_messages import MapUpdate, MapVersion
from carobwalk.model import Endpoint, ServiceName
from carobwalk.peer import decode_endpoint
from carobwalk.store import Listing, Removed, Versioned


class KeyReader:
    """Holds the latest known coordinator and key maps.

    Implements ``RecordReader`` for the coordinator record.

    Args:
        events: Event log.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._maps_by_service: dict[ServiceName, KeyMap] = {}
        self._versions_by_service: dict[ServiceName, MapVersion] = {}
        self.coordinator: Endpoint | None = None
        self.changed = trio.Event()

    def map_of(self, service: ServiceName) -> KeyMap | None:
        """Return the key map of a service, ``None`` if not yet known."""
        return self._maps_by_service.get(service)

    def versions(self) -> dict[str, MapVersion]:
        """Return the versions of the known key maps by service."""
        return {
            str(service): version
            for service, version in self._versions_by_service.items()
        }

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Apply a full listing, with or without a coordinator record."""
        if all(row.name != COORDINATOR_NAME for row in listing.records):
            self._set_coordinator(None, listing.revision)
        for row in listing.records:
            self.apply(row)

    def apply(self, change: Versioned | Removed) -> None:
        """Apply one change of the coordinator record."""
        if change.name == COORDINATOR_NAME:
            if isinstance(change, Versioned):
                self._apply_coordinator(change)
            else:
                self._set_coordinator(None, change.revision)

    def apply_update(self, update: MapUpdate) -> None:
        """Apply an update if it is newer than the known key map."""
        service = ServiceName(update.service)
        known = self._versions_by_service.get(service, MapVersion(0))
        if update.version <= known:
            return
        decoded = decode_update(update, self._known_map(service))
        if decoded is None:
            return
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(KeyRecordDamaged(service, detail))
            return
        key_map = decoded.ok_value
        self._maps_by_service[service] = key_map
        self._versions_by_service[service] = update.version
        self._events.emit(
            KeyMapChanged(
                service=service,
                revision=update.version.revision,
                number=update.version.number,
                ranges=len(key_map),
                ungranted=sum(
                    1 for key_range in key_map if not key_range.is_granted
                ),
            ),
        )
        self.notify()

    def _known_map(self, service: ServiceName) -> VersionedMap | None:
        key_map = self._maps_by_service.get(service)
        if key_map is None:
            return None
        return VersionedMap(key_map, self._versions_by_service[service])

    def _apply_coordinator(self, row: Versioned) -> None:
        decoded = decode_endpoint(row.content)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(KeyRecordDamaged(row.name, detail))
            return
        self._set_coordinator(decoded.ok_value, row.revision)

    def _set_coordinator(
        self,
        endpoint: Endpoint | None,
        revision: int,
    ) -> None:
        if endpoint != self.coordinator:
            self.coordinator = endpoint
            name = endpoint.name if endpoint else ''
            self._events.emit(CoordinatorChanged(name, revision))
            self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()
