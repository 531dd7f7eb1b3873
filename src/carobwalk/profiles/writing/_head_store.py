"""Reads and writes of the head record."""

from dataclasses import dataclass

from result import Err, Ok, Result

from carobwalk.model import CarobwalkError
from carobwalk.profiles._codec import decode, encode
from carobwalk.profiles._failures import ConfigurationTooLarge
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._history_pages import PAGE_LENGTH, HistoryPages
from carobwalk.store import Store, StoreFailure, Unavailable, Versioned

HEAD_NAME = 'configuration/head'
# A quarter of the platform's limit, so that peers can pass it on in a frame.
SIZE_LIMIT_BYTES = 262_144
_RECENT_LIMIT = 2 * PAGE_LENGTH


@dataclass(frozen=True, slots=True)
class HeldHead:
    """The head record and the store's revision of it."""

    record: HeadRecord
    store_revision: int


def decode_head(stored: Versioned | None) -> HeldHead:
    """Return the head record; an empty one where there is none yet.

    Raises:
        RecordError: If the record is damaged.
        InvariantError: If its history has gaps.
    """
    if stored is None:
        return HeldHead(HeadRecord(), 0)
    record = decode(stored.content, HeadRecord)
    record.check()
    return HeldHead(record, stored.revision)


class HeadStore:
    """The head record in the platform's key-value service."""

    def __init__(self, store: Store) -> None:
        self.pages = HistoryPages(store)
        self._store = store

    async def read(self) -> Result[HeldHead, StoreFailure]:
        """Return the record as it stands.

        A record that can't be read, because it is damaged or a newer program
        wrote it, counts as unavailable.
        """
        stored = await self._store.read(HEAD_NAME)
        try:
            return stored.map(decode_head)
        except CarobwalkError as error:
            detail = f'{HEAD_NAME} can not be read: {error}'
            return Err(Unavailable(detail))

    async def shorten(
        self,
        record: HeadRecord,
    ) -> Result[bytes, StoreFailure | ConfigurationTooLarge]:
        """Return the bytes of a record, its oldest history moved to a page."""
        if len(record.recent) > _RECENT_LIMIT:
            shortened = await self.pages.store_oldest(record)
            if isinstance(shortened, Err):
                return Err(shortened.err_value)
            record = shortened.ok_value
        content = encode(record)
        if len(content) > SIZE_LIMIT_BYTES:
            return Err(ConfigurationTooLarge(len(content), SIZE_LIMIT_BYTES))
        return Ok(content)

    async def write(
        self,
        content: bytes,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Write the record if the store's revision of it is as expected."""
        return await self._store.write(HEAD_NAME, content, expected_revision)
