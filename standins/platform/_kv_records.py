"""Records with revisions and their history, in memory."""

import trio

from carobwalk.store import Removed, Versioned

Change = Versioned | Removed


class KvRecords:
    """Records by name, and what changed them."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.changed = trio.Event()
        self._records_by_name: dict[str, Versioned] = {}
        self._history: list[Change] = []

    def get(self, name: str) -> Versioned | None:
        """Return a record."""
        return self._records_by_name.get(name)

    def has_revision(self, name: str, revision: int) -> bool:
        """Return whether a record has a revision, 0 being that of none."""
        current = self._records_by_name.get(name)
        if current is None:
            return revision == 0
        return revision == current.revision

    def of_prefix(self, prefix: str) -> tuple[Versioned, ...]:
        """Return all records of a prefix by name."""
        return tuple(
            self._records_by_name[name]
            for name in sorted(self._records_by_name)
            if name.startswith(prefix)
        )

    def changes(self, prefix: str, after: int) -> tuple[Change, ...]:
        """Return the changes of a prefix after a revision."""
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.name.startswith(prefix)
        )

    def put(self, name: str, content: bytes) -> int:
        """Write a record and return its revision."""
        self.revision += 1
        record = Versioned(name, content, self.revision)
        self._records_by_name[name] = record
        self._note(record)
        return self.revision

    def remove(self, name: str) -> None:
        """Remove a record if there is one."""
        if self._records_by_name.pop(name, None) is not None:
            self.revision += 1
            self._note(Removed(name, self.revision))

    def compact(self) -> None:
        """Forget the history."""
        self.compacted = self.revision
        self._history.clear()
        self.wake()

    def wake(self) -> None:
        """Wake those that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def _note(self, change: Change) -> None:
        self._history.append(change)
        self.wake()
