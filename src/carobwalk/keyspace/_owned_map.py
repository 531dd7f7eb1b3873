"""The map of a coordinator, with the grants that it does not show yet."""

import math
from dataclasses import replace

from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._move import Move


class OwnedMap:
    """The map as it is in the store, and what was granted since.

    Args:
        written: The map as it is in the store.
    """

    def __init__(self, written: KeyMap) -> None:
        self.written = written
        self._granted_at_by_range: dict[KeyRange, float] = {}

    def replace(self, written: KeyMap) -> None:
        """Take in the map as it is in the store now."""
        self.written = written
        self._granted_at_by_range = {
            part: granted_at
            for part, granted_at in self._granted_at_by_range.items()
            if self.stands(part)
        }

    def confirm(self, part: KeyRange, now: float) -> None:
        """Take in that the owner of a range took its grant."""
        self._granted_at_by_range[part] = now

    def ungranted(self) -> list[KeyRange]:
        """Return the ranges whose owner did not take its grant yet."""
        return [
            part
            for part in self.written
            if not (part.is_granted or part in self._granted_at_by_range)
        ]

    def stands(self, part: KeyRange) -> bool:
        """Return whether the store still has a range as it was assigned."""
        return self.written.find(part.first) == part

    def current(self) -> KeyMap:
        """Return the map with all grants."""
        return self.written.assign(
            replace(part, is_granted=True, previous=())
            for part in self._granted_at_by_range
            if self.stands(part)
        )

    def oldest_unwritten(self) -> float:
        """Return when the first grant was taken that is not written yet."""
        return min(self._granted_at_by_range.values(), default=math.inf)

    def held(self, life: ServerLife) -> list[KeyRange]:
        """Return the ranges that a life was granted."""
        return [
            part
            for part in self.written
            if part.owner == life
            and (part.is_granted or part in self._granted_at_by_range)
        ]


def assignment(key_map: KeyMap, move: Move) -> KeyRange:
    """Return the range that a move makes.

    Args:
        key_map: Owners before the move, with all grants.
        move: The move.
    """
    holders: set[ServerLife] = set()
    for part in key_map.overlapping(move.first, move.last):
        holders.add(part.owner)
        holders.update(part.previous)
    return KeyRange(
        first=move.first,
        last=move.last,
        owner=move.owner,
        previous=tuple(sorted(holders - {move.owner})),
    )
