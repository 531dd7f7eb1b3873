"""Last change of each record with a prefix."""

from typing import Final

from carobwalk.store import Listing, Removed, Versioned

# Names of removed records that are kept. A process that asks from before the
# oldest one is sent all records.
_MAX_REMOVED: Final = 1024

Change = Versioned | Removed


class RecordHistory:
    """Keeps the last change of each record.

    All changes after ``first_revision`` are kept; it is ``None`` before the
    first listing. ``last_change`` is the revision of the last change of a
    record, ``revision`` that up to which there are no others.
    """

    def __init__(self) -> None:
        self.first_revision: int | None = None
        self.revision = 0
        self.last_change = 0
        self._changes_by_name: dict[str, Change] = {}

    def restart(self, listing: Listing) -> None:
        """Forget all changes and start from a listing."""
        self._changes_by_name = {row.name: row for row in listing.records}
        self.first_revision = listing.revision
        self.revision = max(self.revision, listing.revision)
        self.last_change = max(
            self.last_change, *(row.revision for row in listing.records), 0
        )

    def merge(self, listing: Listing) -> None:
        """Record the differences between a listing and what is known."""
        listed = {row.name for row in listing.records}
        for name, known in tuple(self._changes_by_name.items()):
            if name not in listed and isinstance(known, Versioned):
                self.record(Removed(name, listing.revision))
        for row in listing.records:
            known_row = self._changes_by_name.get(row.name)
            if known_row is None or known_row.revision < row.revision:
                self.record(row)
        self.revision = max(self.revision, listing.revision)

    def record(self, change: Change) -> None:
        """Record one change."""
        self._changes_by_name[change.name] = change
        self.revision = max(self.revision, change.revision)
        self.last_change = max(self.last_change, change.revision)
        if isinstance(change, Removed):
            self._forget_oldest_removal()

    def records(self) -> list[Versioned]:
        """Return the records that exist."""
        return [
            change
            for change in self._changes_by_name.values()
            if isinstance(change, Versioned)
        ]

    def since(self, revision: int) -> list[Change]:
        """Return the changes after a revision, in their order."""
        changes = [
            change
            for change in self._changes_by_name.values()
            if change.revision > revision
        ]
        changes.sort(key=_revision_of)
        return changes

    def _forget_oldest_removal(self) -> None:
        """Bound the number of removed records that are kept."""
        removed = [
            change
            for change in self._changes_by_name.values()
            if isinstance(change, Removed)
        ]
        if len(removed) > _MAX_REMOVED:
            oldest = min(removed, key=_revision_of)
            del self._changes_by_name[oldest.name]
            self.first_revision = oldest.revision


def _revision_of(change: Change) -> int:
    return change.revision
