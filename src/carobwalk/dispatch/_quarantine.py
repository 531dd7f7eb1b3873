"""Quarantine of requests that are suspected of crashing servers."""

from collections.abc import Callable

import msgspec

from carobwalk.dispatch._suspect import Incident, Suspect, SuspectId
from carobwalk.dispatch._suspect_table import SuspectTable

# Identical requests that ran concurrently when their server was lost count
# as a single loss.
_SAME_LOSS_SECONDS = 1


class Quarantine:
    """Suspected and quarantined requests, replicated to all entries.

    A request is suspected after the first server lost while it ran and runs
    exclusively from then on; after the second loss it is quarantined and no
    longer sent. Replicas that exchange snapshots converge to the same content
    in any order.

    Args:
        wall_clock: Returns seconds since 1970.
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._table = SuspectTable()

    @property
    def entries(self) -> tuple[Suspect, ...]:
        """All requests with at least one attributed loss."""
        self._expire()
        suspects = self._table.suspects
        return tuple(each for each in suspects if each.is_suspected)

    def lengths(self, head: int) -> tuple[int, ...]:
        """Return the body prefix lengths of suspects with a given head.

        Args:
            head: Digest of the head.

        Returns:
            Lengths in bytes; empty if there is no such suspect.
        """
        return self._table.lengths(head)

    def find(self, suspect_id: SuspectId) -> Suspect | None:
        """Return the suspect entry of a request, if it has one."""
        suspect = self._table.get(suspect_id)
        if suspect is None or not suspect.is_suspected:
            return None
        return None if self._is_expired(suspect) else suspect

    def record_loss(
        self,
        suspect_id: SuspectId,
        description: str,
        server: str,
    ) -> Suspect:
        """Attribute the loss of a server to a request.

        Args:
            suspect_id: Identity of the request.
            description: Method and target, for operators.
            server: Backend server that was lost.

        Returns:
            The updated suspect entry of the request.
        """
        now = self._wall_clock()
        known = self.find(suspect_id)
        if known is not None and known.has_loss_at(
            server, now - _SAME_LOSS_SECONDS
        ):
            return known
        incident = Incident(at=now, server=server)
        return self._table.merge(Suspect(suspect_id, description, (incident,)))

    def clear(self, suspect_id: SuspectId) -> bool:
        """Clear all losses attributed to a request.

        Returns:
            Whether there were any.
        """
        suspect = self._table.get(suspect_id)
        if suspect is None or not suspect.is_suspected:
            return False
        now = self._wall_clock()
        self._table.merge(msgspec.structs.replace(suspect, cleared_at=now))
        return True

    def snapshot(self) -> bytes:
        """Return the whole content as JSON, to send to other entries."""
        self._expire()
        return msgspec.json.encode(self._table.suspects)

    def merge(self, snapshot: bytes) -> None:
        """Merge a snapshot of another entry.

        Raises:
            msgspec.MsgspecError: If the snapshot cannot be decoded.
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
