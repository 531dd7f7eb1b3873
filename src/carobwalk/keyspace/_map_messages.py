"""Messages that distribute key maps from the coordinator."""

from typing import Final

import msgspec

from carobwalk.peer import Topic

MAP_TOPIC: Final = Topic('keyspace.map')


class MapVersion(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Version of a key map.

    Args:
        revision: Revision of the map's record in the store.
        number: Number of the update since that revision, 0 for the record
            itself; accepted grants are published before they are written.
    """

    revision: int
    number: int = 0


class MapQuestion(msgspec.Struct, array_like=True):
    """Request for key maps that are newer than the known ones.

    Args:
        known: Known versions by service.
    """

    known: dict[str, MapVersion]


class MapUpdate(msgspec.Struct, array_like=True):
    """New version of a key map, whole or as changes.

    Args:
        service: Service that the map belongs to.
        version: Version of the map.
        content: Ranges, encoded as in a record; only those that differ from
            the base if there is one.
        base: Version that the changes are relative to, ``None`` for a whole
            map.
    """

    service: str
    version: MapVersion
    content: bytes
    base: MapVersion | None = None


class MapAnswer(msgspec.Struct, array_like=True):
    """Answer to a request for newer key maps.

    Args:
        is_coordinator: Whether the answering process is the coordinator.
        updates: Newer maps, empty if there are none.
    """

    is_coordinator: bool
    updates: tuple[MapUpdate, ...]
