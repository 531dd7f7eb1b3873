"""Table of suspects, indexed by identity and by head digest."""

from carobwalk.dispatch._suspect import Suspect, SuspectId

_MAX_SUSPECTS = 1024


class SuspectTable:
    """Bounded table of suspects; the least recently changed is evicted."""

    def __init__(self) -> None:
        self._suspects_by_id: dict[SuspectId, Suspect] = {}
        self._lengths_by_head: dict[int, set[int]] = {}

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """All suspects, in the order of their last change."""
        return tuple(self._suspects_by_id.values())

    def get(self, suspect_id: SuspectId) -> Suspect | None:
        """Return a suspect, if it is in the table."""
        return self._suspects_by_id.get(suspect_id)

    def lengths(self, head: int) -> tuple[int, ...]:
        """Return the body prefix lengths of suspects with a given head."""
        return tuple(sorted(self._lengths_by_head.get(head, ())))

    def merge(self, suspect: Suspect) -> Suspect:
        """Merge an entry into the table and return the merged one."""
        known = self._suspects_by_id.pop(suspect.id, suspect)
        merged = known.merged(suspect)
        self._suspects_by_id[suspect.id] = merged
        lengths = self._lengths_by_head.setdefault(suspect.id.head, set())
        lengths.add(suspect.id.length)
        if len(self._suspects_by_id) > _MAX_SUSPECTS:
            self.drop(next(iter(self._suspects_by_id)))
        return merged

    def drop(self, suspect_id: SuspectId) -> None:
        """Remove a suspect."""
        self._suspects_by_id.pop(suspect_id)
        head = suspect_id.head
        lengths = {
            other.length for other in self._suspects_by_id if other.head == head
        }
        if lengths:
            self._lengths_by_head[head] = lengths
        else:
            self._lengths_by_head.pop(head)
