"""Distribution of the coordinator's key maps to other processes."""

from collections import defaultdict, deque
from typing import Final

import msgspec
import trio

from carobwalk.keyspace._codec import encode_map
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_messages import (
    MapAnswer,
    MapQuestion,
    MapUpdate,
    MapVersion,
)
from carobwalk.model import ProcessId, ServiceName

# Longest time that a question without newer maps is held open.
_LONG_POLL_SECONDS: Final = 1.0
# Number of versions that an update may be relative to.
_MAX_BASE_VERSIONS: Final = 32
# Not 0, the number of the record itself: a record may lack grants that were
# accepted while it was written.
_FIRST_UPDATE_NUMBER: Final = 1
_NO_VERSION: Final = MapVersion(0)


class MapFeed:
    """Answers long polls for key maps as soon as a newer map is published."""

    def __init__(self) -> None:
        self._maps_by_service: dict[
            ServiceName,
            deque[tuple[MapVersion, KeyMap]],
        ] = defaultdict(lambda: deque(maxlen=_MAX_BASE_VERSIONS))
        # Many processes know the same version: their update is encoded once.
        self._updates_by_known: dict[
            tuple[ServiceName, MapVersion],
            MapUpdate,
        ] = {}
        self._changed = trio.Event()
        self.is_coordinator = False

    def publish(self, service: ServiceName, key_map: KeyMap) -> None:
        """Publish a new version of a service's key map.

        Args:
            service: Service that the map belongs to.
            key_map: New map, with the revision of its record.
        """
        maps = self._maps_by_service[service]
        number = _FIRST_UPDATE_NUMBER
        if maps and maps[-1][0].revision == key_map.revision:
            number = maps[-1][0].number + 1
        maps.append((MapVersion(key_map.revision, number), key_map))
        self._updates_by_known.clear()
        self._changed.set()
        self._changed = trio.Event()

    def clear(self) -> None:
        """Drop all maps at the end of a term."""
        self._maps_by_service.clear()
        self._updates_by_known.clear()

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Answer a long poll; a ``TopicHandler``."""
        question = msgspec.msgpack.decode(payload, type=MapQuestion)
        with trio.move_on_after(_LONG_POLL_SECONDS):
            while self.is_coordinator and not self._newer(question):
                await self._changed.wait()
        updates = tuple(
            self._update(service, question.known.get(service, _NO_VERSION))
            for service in self._newer(question)
        )
        return msgspec.msgpack.encode(MapAnswer(self.is_coordinator, updates))

    def _newer(self, question: MapQuestion) -> list[ServiceName]:
        """Return the services with newer maps than the asking process has."""
        newer = []
        for service, maps in self._maps_by_service.items():
            known = question.known.get(service, _NO_VERSION)
            if maps and maps[-1][0] > known:
                newer.append(service)
        return newer

    def _update(self, service: ServiceName, known: MapVersion) -> MapUpdate:
        """Return the newest map, as changes if the known one is retained."""
        update = self._updates_by_known.get((service, known))
        if update is None:
            update = self._make_update(service, known)
            self._updates_by_known[service, known] = update
        return update

    def _make_update(
        self, service: ServiceName, known: MapVersion
    ) -> MapUpdate:
        maps = self._maps_by_service[service]
        version, newest = maps[-1]
        for kept_version, kept in maps:
            if kept_version == known:
                old = frozenset(kept.ranges)
                changed = (
                    key_range for key_range in newest if key_range not in old
                )
                return MapUpdate(service, version, encode_map(changed), known)
        return MapUpdate(service, version, encode_map(newest))
