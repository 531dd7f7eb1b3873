"""Application of the platform's registry to the server directory."""

from result import Err

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerEntryDropped,
)
from carobwalk.events import EventLog
from carobwalk.platform._registry import decode_registry_entry, parse_server_id
from carobwalk.store import Listing, Removed, Versioned


class RegistryReader:
    """Decodes registry entries and updates the server directory.

    It implements ``RecordReader``. Entries that cannot be decoded are logged
    and ignored.

    Args:
        directory: Directory of backend servers.
        events: Event log.
    """

    def __init__(self, directory: ServerDirectory, events: EventLog) -> None:
        self._directory = directory
        self._events = events

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace the content of the directory by the listed entries."""
        entries = []
        for row in listing.records:
            server = self._decode(row)
            if server is not None:
                entries.append((server, row.revision))
        self._directory.load(entries, after_outage=after_outage)

    def apply(self, change: Versioned | Removed) -> None:
        """Apply the change of one entry."""
        if isinstance(change, Removed):
            self._directory.remove(
                parse_server_id(change.name),
                'entry removed',
            )
            return
        server = self._decode(change)
        if server is not None:
            self._directory.put(server, change.revision)

    def _decode(self, row: Versioned) -> BackendServer | None:
        decoded = decode_registry_entry(row.name, row.content)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(ServerEntryDropped(row.name, detail))
            return None
        return decoded.ok_value
