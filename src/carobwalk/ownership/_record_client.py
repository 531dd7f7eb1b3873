"""Access to a group's record in the store."""

import trio
from result import Err, Result

from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._group_record import GroupRecord, encode_group
from carobwalk.ownership._store_names import group_record
from carobwalk.store import StoreFailure, Unanswered, Versioned


class RecordClient:
    """Reads, watches and writes the record within the store timeout.

    Args:
        context: Dependencies and settings of this process.
        group: Name of the group.
    """

    def __init__(self, context: OwnershipContext, group: str) -> None:
        self._store = context.store
        self._timeout = context.times.store_timeout
        self._name = group_record(group)

    async def read(self) -> Result[Versioned | None, StoreFailure]:
        """Return the record, ``None`` if there is none."""
        with trio.move_on_after(self._timeout):
            return await self._store.read(self._name)
        return Err(Unanswered('no answer from the store'))

    async def watch(
        self,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records newer than a revision.

        Args:
            after_revision: Highest revision that the caller has read.
            timeout: Maximum time to wait in seconds; then the result is empty.
        """
        with trio.move_on_after(timeout + self._timeout):
            return await self._store.watch(self._name, after_revision, timeout)
        return Err(Unanswered('no answer from the store'))

    async def write(
        self,
        record: GroupRecord,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Write the record if its revision is the expected one."""
        content = encode_group(record)
        with trio.move_on_after(self._timeout):
            return await self._store.write(
                self._name,
                content,
                expected_revision,
            )
        return Err(Unanswered('no answer from the store'))
