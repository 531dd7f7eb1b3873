"""Messages by which processes learn of maps from the coordinator."""

from typing import Final

import msgspec

from carobwalk.peer import Topic

MAP_TOPIC: Final = Topic('keyspace.map')


class MapVersion(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Version of a map.

    Args:
        revision: Revision of its record in the store.
        number: Number of the update since then, 0 for the record itself:
            confirmed grants are told to processes before they are written.
    """

    revision: int
    number: int = 0


class MapQuestion(msgspec.Struct, array_like=True):
    """Asks for maps that are newer than those known.

    Args:
        known: Versions by service.
    """

    known: dict[str, MapVersion]


class MapUpdate(msgspec.Struct, array_like=True):
    """A map.

    Args:
        service: Service whose keys it divides.
        version: Its version.
        content: Its ranges as a record; those that differ from the base, if
            there is one.
        base: Version that the ranges are laid over, ``None`` for a whole map.
    """

    service: str
    version: MapVersion
    content: bytes
    base: MapVersion | None = None


class MapAnswer(msgspec.Struct, array_like=True):
    """Newer maps, if there are any.

    Args:
        is_coordinator: Whether the process coordinates.
        updates: The maps.
    """

    is_coordinator: bool
    updates: tuple[MapUpdate, ...]
