"""Processes that relay the store's records, by region."""

from typing import Final

import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.model import Endpoint, RegionName
from carobwalk.peer import decode_endpoint
from carobwalk.relay._events import RelayRecordDamaged
from carobwalk.store import Listing, Removed, Versioned

RELAY_PREFIX: Final = 'carobwalk/relays/'


def relay_record_name(region: RegionName) -> str:
    """Return the name of the record that names a region's relay."""
    return f'{RELAY_PREFIX}{region}'


class RelayDirectory:
    """Holds the relay of each region; implements ``RecordReader``.

    Args:
        own: Endpoint of this process.
        events: Event log.
    """

    def __init__(self, own: Endpoint, events: EventLog) -> None:
        self._own = own
        self._events = events
        self._by_record_name: dict[str, Endpoint] = {}
        self.changed = trio.Event()

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all relays by those of a listing."""
        self._by_record_name.clear()
        for row in listing.records:
            self._put(row)
        self._notify()

    def apply(self, change: Versioned | Removed) -> None:
        """Apply the change of one record."""
        if isinstance(change, Removed):
            self._by_record_name.pop(change.name, None)
        else:
            self._put(change)
        self._notify()

    def has_relay(self, region: RegionName) -> bool:
        """Return whether a process relays for a region."""
        return relay_record_name(region) in self._by_record_name

    def by_distance(self) -> list[Endpoint]:
        """Return the relays other than this process, the nearest first."""
        relays = (
            relay
            for relay in self._by_record_name.values()
            if relay.name != self._own.name
        )
        return sorted(relays, key=self._distance)

    def _distance(self, relay: Endpoint) -> tuple[bool, bool, str]:
        return (
            relay.region != self._own.region,
            relay.data_centre != self._own.data_centre,
            relay.name,
        )

    def _put(self, row: Versioned) -> None:
        decoded = decode_endpoint(row.content)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(RelayRecordDamaged(row.name, detail))
            return
        self._by_record_name[row.name] = decoded.ok_value

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
