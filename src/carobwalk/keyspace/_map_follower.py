"""Retrieval of key maps from the coordinator or the store."""

from typing import Final

import msgspec
import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._codec import MAP_PREFIX
from carobwalk.keyspace._events import PeerAnswerDropped
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._map_messages import (
    MAP_TOPIC,
    MapAnswer,
    MapQuestion,
    MapUpdate,
    MapVersion,
)
from carobwalk.model import DECODE_ERRORS, Endpoint
from carobwalk.peer import Peers
from carobwalk.store import TransactionalStore

_ANSWER_TIMEOUT_SECONDS: Final = 1.5
_RETRY_SECONDS: Final = 0.05
_STORE_READ_INTERVAL_SECONDS: Final = 1.0


class MapFollower:
    """Keeps key maps current from the coordinator, else from the store.

    Args:
        peers: Sends long polls to the coordinator.
        store: Key-value service, read when no coordinator answers.
        reader: Receives the updates.
        events: Event log.
    """

    def __init__(
        self,
        peers: Peers,
        store: TransactionalStore,
        reader: KeyReader,
        events: EventLog,
    ) -> None:
        self._peers = peers
        self._store = store
        self._reader = reader
        self._events = events
        self._last_read_at = float('-inf')

    async def run(self) -> None:
        """Follow the key maps until cancelled."""
        while True:
            coordinator = self._reader.coordinator
            if coordinator is None:
                if not self._reader.versions():
                    # The last written owners keep serving meanwhile.
                    await self._read_store()
                with trio.move_on_after(_STORE_READ_INTERVAL_SECONDS):
                    await self._reader.changed.wait()
            elif not await self._ask(coordinator):
                await self._read_store()
                await trio.sleep(_RETRY_SECONDS)

    async def _ask(self, coordinator: Endpoint) -> bool:
        """Send one long poll; return whether the coordinator answered it."""
        question = MapQuestion(self._reader.versions())
        answered = await self._peers.ask(
            coordinator,
            MAP_TOPIC,
            msgspec.msgpack.encode(question),
            _ANSWER_TIMEOUT_SECONDS,
        )
        if isinstance(answered, Err):
            return False
        try:
            answer = msgspec.msgpack.decode(answered.ok_value, type=MapAnswer)
        except DECODE_ERRORS as error:
            self._events.emit(
                PeerAnswerDropped(coordinator.name, MAP_TOPIC, str(error))
            )
            return False
        for update in answer.updates:
            self._reader.apply_update(update)
        return answer.is_coordinator

    async def _read_store(self) -> None:
        """Read the key maps from the store, at a limited rate."""
        now = trio.current_time()
        if now - self._last_read_at < _STORE_READ_INTERVAL_SECONDS:
            return
        self._last_read_at = now
        listed = await self._store.list_records(MAP_PREFIX)
        if isinstance(listed, Err):
            return
        for row in listed.ok_value.records:
            self._reader.apply_update(
                MapUpdate(
                    row.name.removeprefix(MAP_PREFIX),
                    MapVersion(row.revision),
                    row.content,
                ),
            )
