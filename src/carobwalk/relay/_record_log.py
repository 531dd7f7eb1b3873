"""Records of a prefix, kept for other processes."""

from collections.abc import Callable
from typing import Final

from carobwalk.model import Clock
from carobwalk.relay._messages import RecordUpdate, make_row
from carobwalk.relay._record_history import RecordHistory
from carobwalk.store import Listing, RecordReader, Removed, Versioned

# Time after an outage of the store within which entries that live register
# again; a listing of that time may lack some.
_REREGISTRATION_SECONDS: Final = 2.0


class RecordLog:
    """Keeps the records of a prefix, and tells what changed after a revision.

    Implements ``RecordReader`` and passes everything on to another reader.

    Args:
        prefix: Common prefix of the record names.
        reader: Receives the records.
        clock: Clock that tells how long an outage of the store is over.
        on_change: Called after each listing and each change.
    """

    def __init__(
        self,
        prefix: str,
        reader: RecordReader,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.prefix = prefix
        self._reader = reader
        self._clock = clock
        self._on_change = on_change
        self._history = RecordHistory()
        self._outage_ended_at = float('-inf')
        # Many processes know the same revision: their changes are gathered
        # once.
        self._updates_by_known: dict[int, RecordUpdate | None] = {}

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all records and pass the listing on."""
        if self._history.first_revision is None or after_outage:
            self._history.restart(listing)
        else:
            self._history.merge(listing)
        if after_outage:
            self._outage_ended_at = self._clock.now()
        self._reader.load(listing, after_outage=after_outage)
        self._notify()

    def apply(self, change: Versioned | Removed) -> None:
        """Record one change and pass it on."""
        self._history.record(change)
        self._reader.apply(change)
        self._notify()

    @property
    def last_change(self) -> int:
        """Revision of the last change of a record."""
        return self._history.last_change

    def update_since(self, revision: int) -> RecordUpdate | None:
        """Return what has changed after a revision, ``None`` if nothing has.

        Args:
            revision: Revision up to which the asking process knows the
                records, 0 if it knows none.
        """
        first = self._history.first_revision
        if first is None:
            return None
        if revision < first:
            return self._listing()
        if revision not in self._updates_by_known:
            self._updates_by_known[revision] = self._changes_since(revision)
        return self._updates_by_known[revision]

    def _changes_since(self, revision: int) -> RecordUpdate | None:
        rows = tuple(map(make_row, self._history.since(revision)))
        if not rows:
            return None
        return RecordUpdate(self.prefix, self._history.revision, rows)

    def _listing(self) -> RecordUpdate:
        seconds = self._clock.now() - self._outage_ended_at
        return RecordUpdate(
            self.prefix,
            self._history.revision,
            tuple(map(make_row, self._history.records())),
            is_listing=True,
            is_after_outage=seconds < _REREGISTRATION_SECONDS,
        )

    def _notify(self) -> None:
        self._updates_by_known.clear()
        self._on_change()
