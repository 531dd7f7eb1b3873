"""Selection of the keys to move from one server to another."""

import math
from collections.abc import Iterator

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyBounds, KeyRange


def select_keys(
    key_map: KeyMap,
    load: KeyLoad,
    source: ServerIncarnation,
    target_rate: float,
    min_rate: float,
    *,
    may_divide: bool,
) -> KeyBounds | None:
    """Return the keys of a server whose request rate is closest to a target.

    Args:
        key_map: Owners of all keys.
        load: Request rates of keys.
        source: Incarnation of the server that the keys are taken from.
        target_rate: Requests per second that should move.
        min_rate: Fewest requests per second that justify a move.
        may_divide: Whether a part of a range may move, which adds a range.

    Returns:
        First and last key, ``None`` if no part of a range qualifies.
    """
    granted = (
        key_range
        for key_range in key_map
        if key_range.owner == source and key_range.is_granted
    )
    part_rate = target_rate if may_divide else math.inf
    candidates = []
    for key_range in granted:
        for bounds in _candidate_bounds(key_range, load, part_rate):
            rate = load.rate(*bounds)
            if min_rate <= rate <= target_rate * 2:
                candidates.append((abs(rate - target_rate), bounds))
    return min(candidates)[1] if candidates else None


def _candidate_bounds(
    key_range: KeyRange,
    load: KeyLoad,
    target_rate: float,
) -> Iterator[KeyBounds]:
    """Yield the bounds of the parts of a range that may be moved."""
    rate = load.rate(key_range.first, key_range.last)
    if rate <= target_rate:
        yield key_range.first, key_range.last
        return
    head_end = load.split_point(key_range.first, key_range.last, target_rate)
    if key_range.first <= head_end:
        yield key_range.first, head_end
    rest_end = load.split_point(
        key_range.first, key_range.last, rate - target_rate
    )
    if rest_end < key_range.last:
        yield rest_end + 1, key_range.last
