"""Key map of a coordinator, including grants not yet written to the store."""

import math
from dataclasses import replace

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._move import Move


class CoordinatorMap:
    """Key map in the store, overlaid with the grants accepted since.

    Args:
        written: Key map as currently stored.
    """

    def __init__(self, written: KeyMap) -> None:
        self.written = written
        self._granted_at_by_range: dict[KeyRange, float] = {}

    def replace_written(self, written: KeyMap) -> None:
        """Replace the stored map and drop grants of superseded ranges."""
        self.written = written
        self._granted_at_by_range = {
            key_range: granted_at
            for key_range, granted_at in self._granted_at_by_range.items()
            if self.is_assigned(key_range)
        }

    def record_grant(self, key_range: KeyRange, now: float) -> None:
        """Record that the owner of a range accepted its grant."""
        self._granted_at_by_range[key_range] = now

    def ungranted(self) -> list[KeyRange]:
        """Return the ranges whose owner has not yet accepted its grant."""
        return [
            key_range
            for key_range in self.written
            if not self._is_accepted(key_range)
        ]

    def is_assigned(self, key_range: KeyRange) -> bool:
        """Return whether the stored map still contains a range unchanged."""
        return self.written.find(key_range.first) == key_range

    def current(self) -> KeyMap:
        """Return the stored map with all accepted grants applied."""
        return self.written.assign(
            replace(key_range, is_granted=True, previous=())
            for key_range in self._granted_at_by_range
            if self.is_assigned(key_range)
        )

    def oldest_unwritten_at(self) -> float:
        """Return when the oldest unwritten grant was accepted.

        Returns:
            Time of the clock in seconds, infinity if all grants are written.
        """
        return min(self._granted_at_by_range.values(), default=math.inf)

    def granted_to(self, incarnation: ServerIncarnation) -> list[KeyRange]:
        """Return the ranges whose grant an incarnation has accepted."""
        return [
            key_range
            for key_range in self.written
            if key_range.owner == incarnation and self._is_accepted(key_range)
        ]

    def is_granted(self, key_range: KeyRange) -> bool:
        """Return whether a range is assigned and its owner has accepted it."""
        return self.is_assigned(key_range) and self._is_accepted(key_range)

    def _is_accepted(self, key_range: KeyRange) -> bool:
        return key_range.is_granted or key_range in self._granted_at_by_range


def assigned_range(key_map: KeyMap, move: Move) -> KeyRange:
    """Return the range that results from a move.

    Every incarnation that may still hold some of the keys becomes a previous
    owner of the range.

    Args:
        key_map: Key map before the move, with all accepted grants.
        move: Reassignment to apply.
    """
    holders: set[ServerIncarnation] = set()
    for key_range in key_map.overlapping(move.first, move.last):
        holders.add(key_range.owner)
        holders.update(key_range.previous)
    return KeyRange(
        first=move.first,
        last=move.last,
        owner=move.owner,
        previous=tuple(sorted(holders - {move.owner})),
    )
