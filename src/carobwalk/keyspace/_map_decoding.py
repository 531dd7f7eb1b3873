"""Decoding of updates of maps."""

from dataclasses import dataclass

from result import Result

from carobwalk.keyspace._codec import (
    complete_map,
    decode_map,
    decode_ranges,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_messages import MapUpdate, MapVersion
from carobwalk.keyspace._record_error import RecordError


@dataclass(frozen=True, slots=True)
class HeldMap:
    """A map that a process holds.

    Args:
        key_map: The map.
        version: Its version.
    """

    key_map: KeyMap
    version: MapVersion


def decode_update(
    update: MapUpdate,
    held: HeldMap | None,
) -> Result[KeyMap, RecordError] | None:
    """Return the map of an update.

    Args:
        update: The update.
        held: Map that the process holds.

    Returns:
        The map, or ``None`` if the update is laid over another map.
    """
    revision = update.version.revision
    if update.base is None:
        return decode_map(update.content, revision)
    if held is None or held.version != update.base:
        return None
    return decode_ranges(update.content, revision).and_then(
        lambda changed: complete_map(held.key_map.assign(changed), revision),
    )
