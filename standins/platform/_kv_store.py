"""Key-value service with revisions, watches and leases, in memory."""

import trio
from result import Err, Ok, Result

from carobwalk.store import (
    Changes,
    Compacted,
    Conflict,
    LeaseId,
    LeaseLost,
    Listing,
    StoreFailure,
    Unanswered,
    Unavailable,
)
from standins.platform._kv_leases import KvLeases
from standins.platform._kv_records import KvRecords


class KvStore:
    """A ``TransactionalStore`` in memory, with faults.

    Times are those of the running event loop.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.loses_answers = False
        self.calls = 0
        self.records = KvRecords()
        self._leases = KvLeases(self.records)

    async def list_records(
        self,
        prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records of a prefix."""
        if not await self._enter():
            return Err(Unavailable('down'))
        found = self.records.of_prefix(prefix)
        return Ok(Listing(found, self.records.revision))

    async def watch_records(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[Changes, StoreFailure | Compacted]:
        """Wait for changes after a revision."""
        if not await self._enter():
            return Err(Unavailable('down'))
        with trio.move_on_after(timeout):
            while not self.is_down:
                if after_revision < self.records.compacted:
                    return Err(Compacted())
                changes = self.records.changes(prefix, after_revision)
                if changes:
                    return Ok(Changes(changes, self.records.revision))
                await self._wait()
            return Err(Unanswered('cut'))
        return Ok(Changes((), self.records.revision))

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision is the expected one."""
        if not await self._enter():
            return Err(Unavailable('down'))
        if lease is not None and lease not in self._leases:
            return Err(LeaseLost(lease))
        if not self.records.has_revision(name, expected_revision):
            return Err(Conflict(self.records.get(name)))
        revision = self.records.put(name, content)
        self._leases.attach(name, lease)
        if self.loses_answers:
            return Err(Unanswered('answer lost'))
        return Ok(revision)

    async def remove(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Remove a record if its revision is the expected one."""
        if not await self._enter():
            return Err(Unavailable('down'))
        if not self.records.has_revision(name, expected_revision):
            return Err(Conflict(self.records.get(name)))
        self.records.remove(name)
        return Ok(self.records.revision)

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease."""
        if not await self._enter():
            return Err(Unavailable('down'))
        return Ok(self._leases.open(ttl))

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease."""
        if not await self._enter():
            return Err(Unavailable('down'))
        if not self._leases.keep(lease):
            return Err(LeaseLost(lease))
        return Ok(None)

    async def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease."""
        if not await self._enter():
            return Err(Unavailable('down'))
        self._leases.end(lease)
        return Ok(None)

    async def _enter(self) -> bool:
        """Count a call; return whether the service is up."""
        await trio.lowlevel.checkpoint()
        self.calls += 1
        self._leases.lapse()
        return not self.is_down

    async def _wait(self) -> None:
        """Wait for a change, or for the end of a lease."""
        with trio.move_on_at(self._leases.next_end()):
            await self.records.changed.wait()
        self._leases.lapse()
