"""Map from the keys of a service to their ranges."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import chain
from operator import attrgetter
from typing import Final

from carobwalk.keyspace._key_range import MAX_KEY, KeyRange

_FIRST: Final = attrgetter('first')


class KeyMap:
    """Ordered ranges that together cover all keys.

    Args:
        ranges: Ranges in ascending order; only an empty map may have gaps.
        revision: Revision of the record that the ranges were read from.
    """

    def __init__(self, ranges: Iterable[KeyRange], revision: int = 0) -> None:
        self.ranges = tuple(ranges)
        self.revision = revision
        self._first_keys = [key_range.first for key_range in self.ranges]

    def __iter__(self) -> Iterator[KeyRange]:
        """Iterate over the ranges in order."""
        return iter(self.ranges)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self.ranges)

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key, ``None`` if there is none."""
        index = bisect_right(self._first_keys, key) - 1
        if index < 0:
            return None
        found = self.ranges[index]
        return found if key <= found.last else None

    def is_complete(self) -> bool:
        """Return whether every key is in exactly one range."""
        expected = 0
        for key_range in self.ranges:
            if key_range.first != expected or key_range.last < key_range.first:
                return False
            expected = key_range.last + 1
        return expected == MAX_KEY + 1

    def overlapping(self, first: int, last: int) -> tuple[KeyRange, ...]:
        """Return the ranges that overlap an interval of keys."""
        low = max(bisect_right(self._first_keys, first) - 1, 0)
        high = bisect_right(self._first_keys, last)
        return tuple(
            key_range
            for key_range in self.ranges[low:high]
            if key_range.last >= first
        )

    def assign(self, changed: Iterable[KeyRange]) -> 'KeyMap':
        """Return a copy in which new ranges replace those that they overlap.

        Args:
            changed: New ranges; existing ranges that they overlap in part are
                truncated or split.
        """
        ranges = list(self.ranges)
        for new in changed:
            low = max(bisect_right(ranges, new.first, key=_FIRST) - 1, 0)
            high = bisect_right(ranges, new.last, key=_FIRST)
            pieces = _overlay(new, ranges[low:high])
            rest = ranges[high:]
            ranges = [*ranges[:low], *pieces, *rest]
        return KeyMap(merge_adjacent(ranges), self.revision)


def _overlay(new: KeyRange, ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Return a new range and the remainders of overlapped ones, in order."""
    remainders = (subtract(old, new) for old in ranges)
    pieces = [new, *chain.from_iterable(remainders)]
    pieces.sort(key=_FIRST)
    return pieces


def subtract(old: KeyRange, removed: KeyRange) -> Iterator[KeyRange]:
    """Yield the parts of a range that are outside another one."""
    if removed.last < old.first or removed.first > old.last:
        yield old
        return
    if old.first < removed.first:
        yield replace(old, last=removed.first - 1)
    if old.last > removed.last:
        yield replace(old, first=removed.last + 1)


def _differ_only_in_bounds(left: KeyRange, right: KeyRange) -> bool:
    """Return whether two ranges are the same grant of different keys.

    It is called for each pair of neighbours whenever a map changes.
    """
    return (
        left.fence == right.fence
        and left.is_granted == right.is_granted
        and left.owner == right.owner
        and left.previous == right.previous
    )


def merge_adjacent(ranges: Iterable[KeyRange]) -> Iterator[KeyRange]:
    """Yield ranges, merging neighbours that differ only in their bounds."""
    merged: KeyRange | None = None
    for key_range in ranges:
        if merged is None:
            merged = key_range
        elif _differ_only_in_bounds(merged, key_range):
            merged = replace(merged, last=key_range.last)
        else:
            yield merged
            merged = key_range
    if merged is not None:
        yield merged
