"""Suspects by identity, and by the digest of their heads."""

from carobwalk.dispatch._suspect import Suspect, SuspectId

_MOST_SUSPECTS = 1024


class SuspectTable:
    """Bounded table of suspects; the one that changed first goes first."""

    def __init__(self) -> None:
        self._suspects_by_id: dict[SuspectId, Suspect] = {}
        self._lengths_by_head: dict[int, set[int]] = {}

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """All suspects, in the order of their last change."""
        return tuple(self._suspects_by_id.values())

    def get(self, suspect_id: SuspectId) -> Suspect | None:
        """Return a suspect, if it is here."""
        return self._suspects_by_id.get(suspect_id)

    def lengths(self, head: int) -> tuple[int, ...]:
        """Return the body lengths of the suspects with a head."""
        return tuple(sorted(self._lengths_by_head.get(head, ())))

    def merge(self, suspect: Suspect) -> Suspect:
        """Add what is known of a suspect and return all that is known."""
        known = self._suspects_by_id.pop(suspect.id, suspect)
        merged = known.merged(suspect)
        self._suspects_by_id[suspect.id] = merged
        lengths = self._lengths_by_head.setdefault(suspect.id.head, set())
        lengths.add(suspect.id.length)
        if len(self._suspects_by_id) > _MOST_SUSPECTS:
            self.drop(next(iter(self._suspects_by_id)))
        return merged

    def drop(self, suspect_id: SuspectId) -> None:
        """Take a suspect out."""
        self._suspects_by_id.pop(suspect_id)
        head = suspect_id.head
        lengths = {
            other.length for other in self._suspects_by_id if other.head == head
        }
        if lengths:
            self._lengths_by_head[head] = lengths
        else:
            self._lengths_by_head.pop(head)
