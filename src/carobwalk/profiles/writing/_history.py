"""Reads of the change history."""

import trio
from result import Err, Ok, Result

from carobwalk.profiles._change import Change
from carobwalk.profiles._store_failures import (
    ChangeNotKept,
    ReadFailure,
    StoreUnavailable,
)
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._head_store import HeadStore
from carobwalk.profiles.writing._history_pages import page_number
from carobwalk.store import Store


class ConfigurationHistory:
    """Reads accepted changes from the store.

    Args:
        store: Platform's key-value service.
        timeout: Timeout in seconds of each read from the store.
    """

    def __init__(self, store: Store, timeout: float = 3) -> None:
        self._head = HeadStore(store)
        self._timeout = timeout

    async def find_write(self, write_id: str) -> Result[Change, ReadFailure]:
        """Return the recent change of a write, to determine its outcome."""
        head = await self._read_head()
        if isinstance(head, Err):
            return head
        change = head.ok_value.find_write(write_id)
        if change is None:
            return Err(ChangeNotKept(0, write_id))
        return Ok(change)

    async def find_change(self, revision: int) -> Result[Change, ReadFailure]:
        """Return the change that created a revision."""
        listed = await self.list_changes(revision + 1)
        if isinstance(listed, Err):
            return listed
        for change in listed.ok_value:
            if change.revision == revision:
                return Ok(change)
        return Err(ChangeNotKept(revision))

    async def list_changes(
        self,
        before: int | None = None,
    ) -> Result[tuple[Change, ...], ReadFailure]:
        """Return a page of the history, newest first.

        Args:
            before: Exclusive upper bound of the returned revisions; ``None``
                for the latest changes.
        """
        head = await self._read_head()
        if isinstance(head, Err):
            return head
        limit = head.ok_value.revision + 1 if before is None else before
        page = await self._read_page(head.ok_value, max(limit - 1, 1))
        if isinstance(page, Err):
            return page
        newest_first = reversed(page.ok_value)
        return Ok(
            tuple(change for change in newest_first if change.revision < limit),
        )

    async def _read_head(self) -> Result[HeadRecord, StoreUnavailable]:
        with trio.move_on_after(self._timeout):
            head = await self._head.read()
            if isinstance(head, Err):
                return Err(StoreUnavailable(repr(head.err_value)))
            return Ok(head.ok_value.record)
        return Err(StoreUnavailable('the store gave no answer in time'))

    async def _read_page(
        self,
        record: HeadRecord,
        revision: int,
    ) -> Result[tuple[Change, ...], ReadFailure]:
        if revision >= record.first_recent:
            return Ok(record.recent)
        with trio.move_on_after(self._timeout):
            page = await self._head.pages.read(page_number(revision))
            if isinstance(page, Err):
                return Err(StoreUnavailable(repr(page.err_value)))
            return page
        return Err(StoreUnavailable('the store gave no answer in time'))
