"""Conditional writes of a service's key map by its coordinator."""

from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from carobwalk.events import EventLog
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._codec import (
    claimant_of,
    decode_map,
    encode_map,
    map_name,
)
from carobwalk.keyspace._events import (
    KeyRecordDamaged,
    KeyRecordOutdated,
    MapNotWritten,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.model import ServiceName
from carobwalk.store import (
    Conflict,
    StoreFailure,
    TransactionalStore,
    Unanswered,
    Versioned,
)

_RETRY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Overtaken:
    """The stored key map was written by another coordinator or term.

    Args:
        writer: Coordinator that wrote it, ``None`` if the record names none.
    """

    writer: Claimant | None

    def __str__(self) -> str:
        """Return a description for logs."""
        if self.writer is None:
            return 'written by an unknown process'
        return f'written by {self.writer.coordinator.name}'


class MapWriter:
    """Writes a key map on condition that its revision is unchanged.

    Args:
        store: Key-value service.
        service: Service that the map belongs to.
        events: Event log.
        claimant: This process and its term, stored with the map.
    """

    def __init__(
        self,
        store: TransactionalStore,
        service: ServiceName,
        events: EventLog,
        claimant: Claimant,
    ) -> None:
        self._store = store
        self._service = service
        self._events = events
        self._claimant = claimant

    async def read(self) -> Result[Versioned | None, StoreFailure]:
        """Return the current record, ``None`` if there is none."""
        name = map_name(self._service)
        listed = await self._store.list_records(name)
        if isinstance(listed, Err):
            return listed
        found = [row for row in listed.ok_value.records if row.name == name]
        return Ok(found[0] if found else None)

    def decode(self, record: Versioned | None) -> KeyMap:
        """Decode a record; the map is empty if it can't be relied on.

        That is so if it is missing or damaged, or if it is a copy from before
        the store was restored: keys may have moved after the copy was made.
        """
        if record is None:
            return KeyMap(())
        if is_outdated(record):
            self._events.emit(KeyRecordOutdated(record.name, record.revision))
            return KeyMap((), record.revision)
        decoded = decode_map(record.content, record.revision)
        if isinstance(decoded, Ok):
            return decoded.ok_value
        detail = decoded.err_value.detail
        self._events.emit(KeyRecordDamaged(record.name, detail))
        return KeyMap((), record.revision)

    async def write(
        self,
        key_map: KeyMap,
        *,
        is_settled: bool = False,
    ) -> KeyMap | Overtaken | None:
        """Write a key map if its base revision is still current.

        Args:
            key_map: Map to write; its revision is the one to replace.
            is_settled: Whether the coordinator resigns with this write and
                has no unanswered grant outstanding.

        Returns:
            The map now in the store, which may be that of an earlier write of
            this term, or empty if the record is missing or damaged;
            ``Overtaken`` if another coordinator wrote it; ``None`` if it is
            not known.
        """
        written = await self._write_once(key_map, is_settled=is_settled)
        if isinstance(written, Ok):
            return written.ok_value
        if isinstance(written.err_value, Conflict | Unanswered):
            return await self._reread()
        await trio.sleep(_RETRY_SECONDS)
        return None

    async def claim(self, key_map: KeyMap) -> KeyMap | None:
        """Write a key map to claim it, even if its content stays the same.

        Args:
            key_map: Map to write; its revision is the one to replace.

        Returns:
            The claimed map, ``None`` if the record does not name this
            coordinator and term: another coordinator may have written it.
        """
        written = await self._write_once(key_map)
        if isinstance(written, Ok):
            return written.ok_value
        stored = await self._reread()
        return stored if isinstance(stored, KeyMap) else None

    async def _write_once(
        self,
        key_map: KeyMap,
        *,
        is_settled: bool = False,
    ) -> Result[KeyMap, StoreFailure]:
        content = encode_map(
            key_map,
            is_settled=is_settled,
            claimant=self._claimant,
        )
        written = await self._store.write(
            map_name(self._service),
            content,
            key_map.revision,
        )
        if isinstance(written, Ok):
            record = Versioned('', content, written.ok_value)
            return Ok(self.decode(record))
        failure = written.err_value
        self._events.emit(
            MapNotWritten(
                self._service,
                type(failure).__name__,
                str(getattr(failure, 'detail', '')),
            ),
        )
        return Err(failure)

    async def _reread(self) -> KeyMap | Overtaken | None:
        """Return the stored map after a conflict or an unanswered write.

        A map of another coordinator must not be used: the next one asks the
        process that the record names for the grants in force.
        """
        read = await self.read()
        if isinstance(read, Err):
            await trio.sleep(_RETRY_SECONDS)
            return None
        record = read.ok_value
        if record is not None and is_outdated(record):
            # The term began before the store was restored.
            return Overtaken(None)
        key_map = self.decode(record)
        writer = claimant_of(record.content) if record else None
        if key_map.ranges and writer != self._claimant:
            return Overtaken(writer)
        return key_map


def is_outdated(record: Versioned) -> bool:
    """Return whether a record was written before the store was restored."""
    claimant = claimant_of(record.content)
    return claimant is not None and not claimant.is_of_era(record.revision)
