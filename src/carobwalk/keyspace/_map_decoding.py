"""Decoding of key map updates."""

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
class VersionedMap:
    """A key map with its version.

    Args:
        key_map: Key map.
        version: Version of the map.
    """

    key_map: KeyMap
    version: MapVersion


def decode_update(
    update: MapUpdate,
    known: VersionedMap | None,
) -> Result[KeyMap, RecordError] | None:
    """Decode an update into a complete key map.

    Args:
        update: Whole map, or changes relative to a base version.
        known: Latest map known to the process.

    Returns:
        The resulting map, or ``None`` if the update is relative to another
        version than the known one.
    """
    revision = update.version.revision
    if update.base is None:
        return decode_map(update.content, revision)
    if known is None or known.version != update.base:
        return None
    return decode_ranges(update.content, revision).and_then(
        lambda changed: complete_map(known.key_map.assign(changed), revision),
    )
