"""Reading of the platform's registry into the directory."""

from result import Err

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerEntryDropped,
)
from carobwalk.events import EventLog
from carobwalk.platform._registry import decode_entry, server_id
from carobwalk.store import Listing, Removed, Versioned


class RegistryReader:
    """Keeps the directory up to date; a ``RecordReader``.

    Args:
        directory: Takes the backend servers.
        events: Log of events.
    """

    def __init__(self, directory: ServerDirectory, events: EventLog) -> None:
        self._directory = directory
        self._events = events

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all entries."""
        entries = []
        for row in listing.records:
            server = self._decode(row)
            if server is not None:
                entries.append((server, row.revision))
        self._directory.load(entries, after_outage=after_outage)

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change."""
        if isinstance(change, Removed):
            self._directory.remove(server_id(change.name), 'entry removed')
            return
        server = self._decode(change)
        if server is not None:
            self._directory.put(server, change.revision)

    def _decode(self, row: Versioned) -> BackendServer | None:
        decoded = decode_entry(row.name, row.content)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail
            self._events.emit(ServerEntryDropped(row.name, detail))
            return None
        return decoded.ok_value
