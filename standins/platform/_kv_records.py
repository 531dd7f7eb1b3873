"""In-memory records with revisions and a change history."""

import trio

from carobwalk.store import Removed, Versioned

Change = Versioned | Removed


class KvRecords:
    """Records by name, and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.changed = trio.Event()
        self.by_name: dict[str, Versioned] = {}
        self.history: list[Change] = []

    def get(self, name: str) -> Versioned | None:
        """Return a record, ``None`` if it does not exist."""
        return self.by_name.get(name)

    def has_revision(self, name: str, revision: int) -> bool:
        """Return whether a record has a revision; a missing one has 0."""
        current = self.by_name.get(name)
        if current is None:
            return revision == 0
        return revision == current.revision

    def list_prefix(self, prefix: str) -> tuple[Versioned, ...]:
        """Return all records of a prefix, sorted by name."""
        return tuple(
            self.by_name[name]
            for name in sorted(self.by_name)
            if name.startswith(prefix)
        )

    def changes(self, prefix: str, after: int) -> tuple[Change, ...]:
        """Return the changes of a prefix after a revision."""
        return tuple(
            change
            for change in self.history
            if change.revision > after and change.name.startswith(prefix)
        )

    def put(self, name: str, content: bytes) -> int:
        """Write a record and return its revision."""
        self.revision += 1
        record = Versioned(name, content, self.revision)
        self.by_name[name] = record
        self._append(record)
        return self.revision

    def remove(self, name: str) -> None:
        """Remove a record if it exists."""
        if self.by_name.pop(name, None) is not None:
            self.revision += 1
            self._append(Removed(name, self.revision))

    def compact(self) -> None:
        """Discard the history, so that older watches fail."""
        self.compacted_revision = self.revision
        self.history.clear()
        self.notify()

    def notify(self) -> None:
        """Wake the pending watches."""
        self.changed.set()
        self.changed = trio.Event()

    def _append(self, change: Change) -> None:
        self.history.append(change)
        self.notify()
