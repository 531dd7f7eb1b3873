"""Choice of the part of a server's keys that another one gets."""

from collections.abc import Iterator

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyBounds, KeyRange, ServerLife


def choose_part(
    key_map: KeyMap,
    load: KeyLoad,
    source: ServerLife,
    wanted: float,
    least: float,
) -> KeyBounds | None:
    """Return the keys whose rate comes closest to a wanted one.

    Args:
        key_map: Owners of all keys.
        load: How often keys are asked for.
        source: Server that the keys are taken from.
        wanted: Requests a second that should move.
        least: Requests a second that are worth a move.

    Returns:
        First and last key, ``None`` if nothing fits.
    """
    fitting = []
    for part in key_map:
        if part.owner != source or not part.is_granted:
            continue
        for bounds in _parts(part, load, wanted):
            rate = load.rate(*bounds)
            if least <= rate <= wanted * 2:
                fitting.append((abs(rate - wanted), bounds))
    return min(fitting)[1] if fitting else None


def _parts(
    part: KeyRange,
    load: KeyLoad,
    wanted: float,
) -> Iterator[KeyBounds]:
    """Yield the parts of a range that might be moved."""
    rate = load.rate(part.first, part.last)
    if rate <= wanted:
        yield part.first, part.last
        return
    head_end = load.split_point(part.first, part.last, wanted)
    if part.first <= head_end:
        yield part.first, head_end
    rest_end = load.split_point(part.first, part.last, rate - wanted)
    if rest_end < part.last:
        yield rest_end + 1, part.last
