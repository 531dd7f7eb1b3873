"""All ranges of a service's keys."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import chain
from operator import attrgetter
from typing import Final

from carobwalk.keyspace._key_range import MOST_KEY, KeyRange

_FIRST: Final = attrgetter('first')


class KeyMap:
    """Ranges that cover all keys, in order.

    Args:
        ranges: The ranges; gaps are allowed only in an empty map.
        revision: Revision of the record that holds them.
    """

    def __init__(self, ranges: Iterable[KeyRange], revision: int = 0) -> None:
        self.ranges = tuple(ranges)
        self.revision = revision
        self._firsts = [part.first for part in self.ranges]

    def __iter__(self) -> Iterator[KeyRange]:
        """Iterate over the ranges in order."""
        return iter(self.ranges)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self.ranges)

    def find(self, key: int) -> KeyRange | None:
        """Return the range of a key."""
        index = bisect_right(self._firsts, key) - 1
        if index < 0:
            return None
        found = self.ranges[index]
        return found if key <= found.last else None

    def is_complete(self) -> bool:
        """Return whether each key is in exactly one range."""
        expected = 0
        for part in self.ranges:
            if part.first != expected or part.last < part.first:
                return False
            expected = part.last + 1
        return expected == MOST_KEY + 1

    def overlapping(self, first: int, last: int) -> tuple[KeyRange, ...]:
        """Return the ranges that hold any of some keys."""
        low = max(bisect_right(self._firsts, first) - 1, 0)
        high = bisect_right(self._firsts, last)
        return tuple(
            part for part in self.ranges[low:high] if part.last >= first
        )

    def assign(self, changed: Iterable[KeyRange]) -> 'KeyMap':
        """Return the map after ranges have been laid over it.

        Args:
            changed: New ranges, which may cut existing ones.
        """
        ranges = list(self.ranges)
        for laid in changed:
            low = max(bisect_right(ranges, laid.first, key=_FIRST) - 1, 0)
            high = bisect_right(ranges, laid.last, key=_FIRST)
            pieces = _lay_over(laid, ranges[low:high])
            rest = ranges[high:]
            ranges = [*ranges[:low], *pieces, *rest]
        return KeyMap(join_alike(ranges), self.revision)


def _lay_over(laid: KeyRange, ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Return a range and what is left of those under it, in order."""
    cut = (cut_out(old, laid) for old in ranges)
    pieces = [laid, *chain.from_iterable(cut)]
    pieces.sort(key=_FIRST)
    return pieces


def cut_out(old: KeyRange, part: KeyRange) -> Iterator[KeyRange]:
    """Yield what is left of a range outside another one."""
    if part.last < old.first or part.first > old.last:
        yield old
        return
    if old.first < part.first:
        yield replace(old, last=part.first - 1)
    if old.last > part.last:
        yield replace(old, first=part.last + 1)


def join_alike(ranges: Iterable[KeyRange]) -> Iterator[KeyRange]:
    """Yield ranges, neighbours with the same grant joined."""
    joined: KeyRange | None = None
    for part in ranges:
        if joined is None:
            joined = part
        elif part == replace(joined, first=part.first, last=part.last):
            joined = replace(joined, last=part.last)
        else:
            yield joined
            joined = part
    if joined is not None:
        yield joined
