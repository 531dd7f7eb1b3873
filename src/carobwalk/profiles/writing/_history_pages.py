"""Older entries of the history, kept in a ring of records."""

from dataclasses import dataclass

from result import Err, Ok, Result

from carobwalk.profiles._change import Change
from carobwalk.profiles._codec import decode, encode
from carobwalk.profiles._invariants import require
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.store import Conflict, Store, StoreFailure, Versioned

PAGE_LENGTH = 128
# Three weeks of 3,000 changes a day; the oldest page is overwritten.
PAGE_COUNT = 512
_PREFIX = 'configuration/history/'


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Consecutive changes that the head record no longer holds.

    Args:
        number: Count of pages before this one; it never falls in a slot.
        changes: The changes, oldest first.
    """

    number: int
    changes: tuple[Change, ...]


def page_of(revision: int) -> int:
    """Return the number of the page that a revision belongs to."""
    return (revision - 1) // PAGE_LENGTH


class HistoryPages:
    """Ring of history pages in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(
        self,
        number: int,
    ) -> Result[tuple[Change, ...], StoreFailure]:
        """Return the changes of a page; none if it is not kept any more."""
        stored = await self._store.read(_name_of(number))
        if isinstance(stored, Err):
            return stored
        page = _decode_page(stored.ok_value)
        if page is None or page.number != number:
            return Ok(())
        return Ok(page.changes)

    async def store_oldest(
        self,
        record: HeadRecord,
    ) -> Result[HeadRecord, StoreFailure]:
        """Store the oldest changes of a record and return it without them.

        Accepted changes never differ between writers, so that a page which is
        stored twice is the same page.

        Args:
            record: Record as it stands in the store.
        """
        number = page_of(record.first_recent)
        following = number * PAGE_LENGTH + PAGE_LENGTH + 1
        length = following - record.first_recent
        changes = record.recent[:length]
        require(
            changes[0].revision == number * PAGE_LENGTH + 1,
            'a record starts with the first change of a page',
        )
        stored = await self._store_page(HistoryPage(number, changes))
        if isinstance(stored, Err):
            return stored
        return Ok(HeadRecord(record.configuration, record.recent[length:]))

    async def _store_page(
        self,
        page: HistoryPage,
    ) -> Result[None, StoreFailure]:
        stored = await self._store.read(_name_of(page.number))
        if isinstance(stored, Err):
            return stored
        present = stored.ok_value
        other = _decode_page(present)
        if other is not None and other.number >= page.number:
            return Ok(None)
        written = await self._store.write(
            _name_of(page.number),
            encode(page),
            present.revision if present else 0,
        )
        if isinstance(written, Err) and not _is_conflict(written.err_value):
            return Err(written.err_value)
        return Ok(None)


def _is_conflict(failure: StoreFailure) -> bool:
    # Another writer stored the same page, or a later one, in the meantime.
    return isinstance(failure, Conflict)


def _name_of(number: int) -> str:
    return f'{_PREFIX}{number % PAGE_COUNT:04d}'


def _decode_page(stored: Versioned | None) -> HistoryPage | None:
    if stored is None:
        return None
    return decode(stored.content, HistoryPage)
