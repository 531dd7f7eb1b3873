"""Maps of the coordinator, as other processes ask for them."""

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

# Longest time until a question is answered without news.
_HOLD_SECONDS: Final = 1.0


class MapFeed:
    """Answers each question as soon as there is a newer map."""

    def __init__(self) -> None:
        self._updates_by_service: dict[ServiceName, MapUpdate] = {}
        self._changed = trio.Event()
        self.is_coordinator = False

    def publish(self, service: ServiceName, key_map: KeyMap) -> None:
        """Take in a map that is in force from now on.

        Args:
            service: Service whose keys it divides.
            key_map: The map with the revision of its record.
        """
        version = MapVersion(key_map.revision)
        last = self._updates_by_service.get(service)
        if last is not None and last.version.revision == version.revision:
            version = MapVersion(version.revision, last.version.number + 1)
        self._updates_by_service[service] = MapUpdate(
            service,
            version,
            encode_map(key_map),
        )
        self._changed.set()
        self._changed = trio.Event()

    def clear(self) -> None:
        """Forget all maps at the end of a term."""
        self._updates_by_service.clear()

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Answer a question; a ``TopicHandler``."""
        question = msgspec.msgpack.decode(payload, type=MapQuestion)
        with trio.move_on_after(_HOLD_SECONDS):
            while self.is_coordinator and not self._news(question):
                await self._changed.wait()
        return msgspec.msgpack.encode(
            MapAnswer(self.is_coordinator, self._news(question)),
        )

    def _news(self, question: MapQuestion) -> tuple[MapUpdate, ...]:
        unknown = MapVersion(0)
        return tuple(
            update
            for update in self._updates_by_service.values()
            if update.version > question.known.get(update.service, unknown)
        )
