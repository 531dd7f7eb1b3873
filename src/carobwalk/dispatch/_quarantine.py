"""Requests that are not sent, because servers were lost under them."""

from collections.abc import Callable

import msgspec

from carobwalk.dispatch._suspect import Incident, Suspect, SuspectId
from carobwalk.dispatch._suspect_table import SuspectTable

# Equal requests that run at once share one loss of their server.
_SAME_LOSS_SECONDS = 1


class Quarantine:
    """Suspects and convicted requests, known to all entries.

    A request is suspected after one loss and runs alone from then on; it is
    convicted after a second one. Two quarantines that exchange snapshots end
    with the same content in any order.

    Args:
        wall_clock: Returns seconds since 1970.
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._table = SuspectTable()

    @property
    def entries(self) -> tuple[Suspect, ...]:
        """All requests against which a loss counts."""
        self._expire()
        suspects = self._table.suspects
        return tuple(each for each in suspects if each.is_suspected)

    def lengths(self, head: int) -> tuple[int, ...]:
        """Return the body lengths by which requests with a head differ.

        Args:
            head: Digest of the head.

        Returns:
            Lengths in bytes; empty where no such request is known.
        """
        return self._table.lengths(head)

    def find(self, suspect_id: SuspectId) -> Suspect | None:
        """Return what counts against a request, if anything does."""
        suspect = self._table.get(suspect_id)
        if suspect is None or not suspect.is_suspected:
            return None
        return None if self._is_expired(suspect) else suspect

    def blame(
        self,
        suspect_id: SuspectId,
        description: str,
        server: str,
    ) -> Suspect:
        """Count a loss against a request.

        Args:
            suspect_id: Identity of the request.
            description: Method and target, for operators.
            server: Backend server that was lost.
        """
        now = self._wall_clock()
        known = self.find(suspect_id)
        if known is not None and known.was_at(server, now - _SAME_LOSS_SECONDS):
            return known
        incident = Incident(at=now, server=server)
        return self._table.merge(Suspect(suspect_id, description, (incident,)))

    def clear(self, suspect_id: SuspectId) -> bool:
        """Drop all that counts against a request.

        Returns:
            Whether anything did.
        """
        suspect = self._table.get(suspect_id)
        if suspect is None or not suspect.is_suspected:
            return False
        now = self._wall_clock()
        self._table.merge(msgspec.structs.replace(suspect, cleared_at=now))
        return True

    def snapshot(self) -> bytes:
        """Return all content for other entries, as JSON."""
        self._expire()
        return msgspec.json.encode(self._table.suspects)

    def merge(self, snapshot: bytes) -> None:
        """Take in the content of another entry.

        Raises:
            msgspec.MsgspecError: If it is no snapshot.
        """
        for suspect in msgspec.json.decode(snapshot, type=tuple[Suspect, ...]):
            self._table.merge(suspect)
        self._expire()

    def _expire(self) -> None:
        for suspect in self._table.suspects:
            if self._is_expired(suspect):
                self._table.drop(suspect.id)

    def _is_expired(self, suspect: Suspect) -> bool:
        return self._wall_clock() > suspect.expires_at
