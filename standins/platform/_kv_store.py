"""In-memory key-value service with revisions, watches and leases."""

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
    """In-memory ``TransactionalStore`` with faults.

    Times are those of the event loop. While ``is_down``, calls fail; with
    ``loses_replies``, writes take effect but report no answer. ``era`` rises
    by one with each restore from a copy.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.era = 0
        self.loses_replies = False
        self.calls = 0
        self.records = KvRecords()
        self.leases = KvLeases(self.records)

    async def list_records(
        self,
        prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records of a prefix."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        found = self.records.list_prefix(prefix)
        return Ok(Listing(found, self.records.revision))

    async def watch_records(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
        _margin: float = 0,
    ) -> Result[Changes, StoreFailure | Compacted]:
        """Wait for changes after a revision; return none at the timeout."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        with trio.move_on_after(timeout):
            while not self.is_down:
                if after_revision < self.records.compacted_revision:
                    return Err(Compacted())
                changes = self.records.changes(prefix, after_revision)
                if changes:
                    return Ok(Changes(changes, self.records.revision))
                await self._wait()
            return Err(Unanswered('cut'))
        # A change may have come in the moment of the timeout.
        changes = self.records.changes(prefix, after_revision)
        return Ok(Changes(changes, self.records.revision))

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision matches the expected one."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        if lease is not None and lease not in self.leases:
            return Err(LeaseLost(lease))
        if not self.records.has_revision(name, expected_revision):
            return Err(Conflict(self.records.get(name)))
        revision = self.records.put(name, content)
        self.leases.attach(name, lease)
        if self.loses_replies:
            return Err(Unanswered('answer lost'))
        return Ok(revision)

    async def remove(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Remove a record if its revision matches the expected one."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        if not self.records.has_revision(name, expected_revision):
            return Err(Conflict(self.records.get(name)))
        self.records.remove(name)
        return Ok(self.records.revision)

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Grant a lease with a time to live of ``ttl`` seconds."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        return Ok(self.leases.open(ttl))

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        if not self.leases.renew(lease):
            return Err(LeaseLost(lease))
        return Ok(None)

    async def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revoke a lease and remove its records."""
        if not await self._begin_call():
            return Err(Unavailable('down'))
        self.leases.revoke(lease)
        return Ok(None)

    async def _begin_call(self) -> bool:
        """Count a call; return whether the service is up."""
        await trio.lowlevel.checkpoint()
        self.calls += 1
        self.leases.expire()
        return not self.is_down

    async def _wait(self) -> None:
        """Wait for a change or the expiry of a lease."""
        with trio.move_on_at(self.leases.next_expiry()):
            await self.records.changed.wait()
        self.leases.expire()
