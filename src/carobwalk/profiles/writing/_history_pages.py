"""Archive of older history entries, in a ring of records."""

from dataclasses import dataclass

from result import Err, Ok, Result

from carobwalk.profiles._change import Change
from carobwalk.profiles._codec import decode, encode
from carobwalk.profiles._invariants import require
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.store import Conflict, Store, StoreFailure, Versioned

PAGE_LENGTH = 128
# Retains three weeks of 3,000 changes a day; the oldest page is overwritten.
PAGE_COUNT = 512
_RECORD_PREFIX = 'configuration/history/'


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Consecutive changes that were moved out of the head record.

    Args:
        number: Number of earlier pages; in a slot of the ring it never
            decreases.
        changes: The changes, oldest first.
    """

    number: int
    changes: tuple[Change, ...]


def page_number(revision: int) -> int:
    """Return the number of the page that holds a revision."""
    return (revision - 1) // PAGE_LENGTH


class HistoryPages:
    """Ring of history pages in the store.

    Args:
        store: Platform's key-value service.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(
        self,
        number: int,
    ) -> Result[tuple[Change, ...], StoreFailure]:
        """Return the changes of a page; empty if it was overwritten."""
        stored = await self._store.read(_record_name(number))
        if isinstance(stored, Err):
            return stored
        page = _decode_page(stored.ok_value)
        if page is None or page.number != number:
            return Ok(())
        return Ok(page.changes)

    async def archive_oldest(
        self,
        record: HeadRecord,
    ) -> Result[HeadRecord, StoreFailure]:
        """Archive the oldest changes of a record.

        Accepted changes are identical for all writers, so storing a page
        twice is idempotent.

        Args:
            record: Record that includes the change about to be written.

        Returns:
            The record without the archived changes.
        """
        number = page_number(record.first_recent)
        next_page_start = number * PAGE_LENGTH + PAGE_LENGTH + 1
        count = next_page_start - record.first_recent
        changes = record.recent[:count]
        require(
            changes[0].revision == number * PAGE_LENGTH + 1,
            'the oldest change of a record must start a page',
        )
        stored = await self._store_page(HistoryPage(number, changes))
        if isinstance(stored, Err):
            return stored
        return Ok(HeadRecord(record.configuration, record.recent[count:]))

    async def _store_page(
        self,
        page: HistoryPage,
    ) -> Result[None, StoreFailure]:
        stored = await self._store.read(_record_name(page.number))
        if isinstance(stored, Err):
            return stored
        current = stored.ok_value
        other = _decode_page(current)
        if other is not None and other.number >= page.number:
            return Ok(None)
        written = await self._store.write(
            _record_name(page.number),
            encode(page),
            current.revision if current else 0,
        )
        if isinstance(written, Err) and not _is_conflict(written.err_value):
            return Err(written.err_value)
        return Ok(None)


def _is_conflict(failure: StoreFailure) -> bool:
    # Another writer has stored the same page, or a later one, concurrently.
    return isinstance(failure, Conflict)


def _record_name(number: int) -> str:
    return f'{_RECORD_PREFIX}{number % PAGE_COUNT:04d}'


def _decode_page(stored: Versioned | None) -> HistoryPage | None:
    if stored is None:
        return None
    return decode(stored.content, HistoryPage)
