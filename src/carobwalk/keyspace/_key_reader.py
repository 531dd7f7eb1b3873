"""What the records in the store say of keys and coordinator."""

import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._coordinator_codec import (
    COORDINATOR_NAME,
    decode_coordinator,
)
from carobwalk.keyspace._events import (
    CoordinatorChanged,
    KeyMapChanged,
    KeyRecordDamaged,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_decoding import HeldMap, decode_update
from carobwalk.keyspace._map_messages import MapUpdate, MapVersion
from carobwalk.model import Endpoint, ServiceName
from carobwalk.store import Listing, Removed, Versioned


class KeyReader:
    """Maps and coordinator as they were last heard of.

    It is a ``RecordReader`` of the coordinator's record.

    Args:
        events: Log of events.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._maps_by_service: dict[ServiceName, KeyMap] = {}
        self._versions_by_service: dict[ServiceName, MapVersion] = {}
        self.coordinator: Endpoint | None = None
        self.changed = trio.Event()

    def map_of(self, service: ServiceName) -> KeyMap | None:
        """Return the map of a service's keys."""
        return self._maps_by_service.get(service)

    def versions(self) -> dict[str, MapVersion]:
        """Return the versions of the maps by service."""
        return {
            str(service): version
            for service, version in self._versions_by_service.items()
        }

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take the record of the coordinator, if there is one."""
        if all(row.name != COORDINATOR_NAME for row in listing.records):
            self._set_coordinator(None, listing.revision)
        for row in listing.records:
            self.apply(row)

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change of the coordinator's record."""
        if change.name == COORDINATOR_NAME:
            if isinstance(change, Versioned):
                self._take_coordinator(change)
            else:
                self._set_coordinator(None, change.revision)

    def take_update(self, update: MapUpdate) -> None:
        """Take a map if it is newer than the one known."""
        service = ServiceName(update.service)
        known = self._versions_by_service.get(service, MapVersion(0))
        if update.version <= known:
            return
        decoded = decode_update(update, self._held(service))
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
                ungranted=sum(1 for part in key_map if not part.is_granted),
            ),
        )
        self.notify()

    def _held(self, service: ServiceName) -> HeldMap | None:
        key_map = self._maps_by_service.get(service)
        if key_map is None:
            return None
        return HeldMap(key_map, self._versions_by_service[service])

    def _take_coordinator(self, row: Versioned) -> None:
        decoded = decode_coordinator(row.content)
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
        """Wake those that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()
