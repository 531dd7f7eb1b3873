"""Storage of the head record."""

from dataclasses import dataclass

from result import Err, Ok, Result

from carobwalk.model import CarobwalkError
from carobwalk.profiles._codec import decode, encode
from carobwalk.profiles._failures import ConfigurationTooLarge
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._history_pages import PAGE_LENGTH, HistoryPages
from carobwalk.store import Store, StoreFailure, Unavailable, Versioned

HEAD_NAME = 'configuration/head'
# A quarter of the platform's size limit, so that the record also fits into
# one frame between peers.
SIZE_LIMIT_BYTES = 262_144
_MAX_RECENT_CHANGES = 2 * PAGE_LENGTH


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head record as read from the store.

    Args:
        record: The record.
        store_revision: Revision that the store assigned to it; 0 if there is
            no record yet.
    """

    record: HeadRecord
    store_revision: int


def decode_head(stored: Versioned | None) -> StoredHead:
    """Decode the head record; returns an empty one if none is stored.

    Raises:
        RecordError: If the record is corrupt.
        InvariantError: If its history has gaps.
    """
    if stored is None:
        return StoredHead(HeadRecord(), 0)
    record = decode(stored.content, HeadRecord)
    record.check()
    return StoredHead(record, stored.revision)


class HeadStore:
    """Reads and writes the head record.

    Args:
        store: Platform's key-value service.
    """

    def __init__(self, store: Store) -> None:
        self.pages = HistoryPages(store)
        self._store = store

    async def read(self) -> Result[StoredHead, StoreFailure]:
        """Return the current record.

        A record that can't be decoded, because it is corrupt or in a newer
        format, is reported as ``Unavailable``.
        """
        stored = await self._store.read(HEAD_NAME)
        try:
            return stored.map(decode_head)
        except CarobwalkError as error:
            detail = f'{HEAD_NAME} can not be read: {error}'
            return Err(Unavailable(detail))

    async def archive_and_encode(
        self,
        record: HeadRecord,
    ) -> Result[bytes, StoreFailure | ConfigurationTooLarge]:
        """Encode a record for a write, archiving its oldest changes if needed.

        Returns:
            The encoded record; ``ConfigurationTooLarge`` if it exceeds the
            size limit.
        """
        if len(record.recent) > _MAX_RECENT_CHANGES:
            archived = await self.pages.archive_oldest(record)
            if isinstance(archived, Err):
                return Err(archived.err_value)
            record = archived.ok_value
        content = encode(record)
        if len(content) > SIZE_LIMIT_BYTES:
            return Err(ConfigurationTooLarge(len(content), SIZE_LIMIT_BYTES))
        return Ok(content)

    async def write(
        self,
        content: bytes,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Replace the record by compare-and-swap.

        Args:
            content: Encoded record.
            expected_revision: Store revision that the record must have; 0 if
                it must not exist.
        """
        return await self._store.write(HEAD_NAME, content, expected_revision)
